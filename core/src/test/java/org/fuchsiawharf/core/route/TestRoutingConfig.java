package org.fuchsiawharf.core.route;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.fuchsiawharf.core.error.ArgumentException;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TestRoutingConfig {
    private static Route route(String name, String prefix, List<PieceStage> stages, WeightedService... services) {
        return new Route(
                name,
                "h.example",
                prefix,
                RequestKind.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                List.of(services),
                2,
                stages,
                false,
                false);
    }

    private static Route route(String name, String prefix) {
        return route(name, prefix, List.of(), new WeightedService("s", 1));
    }

    private static RoutingConfig config(Route... routes) {
        return RoutingConfig.of(
                1,
                List.of(routes),
                List.of(),
                WorkspaceKeys.of(Map.of("k", new Workspace("w", null))),
                CallerLimits.DEFAULT);
    }

    @Test
    void matchesRouteWithLongestPrefix() {
        RoutingConfig config = config(route("short", "/a/"), route("long", "/a/b/"));
        assertThat(Objects.requireNonNull(config.match("H.Example", "/a/b/c")).name(), is("long"));
        assertThat(Objects.requireNonNull(config.match("h.example", "/a/bc")).name(), is("short"));
        assertThat(config.match("h.example", "/ab"), is(nullValue()));
        assertThat(config.match("other.example", "/a/"), is(nullValue()));
    }

    @Test
    void findsWorkspaceByKey() {
        RoutingConfig config = config(route("r", "/"));
        assertThat(config.findWorkspace("k"), is(notNullValue()));
        assertThat(config.findWorkspace("x"), is(nullValue()));
        assertThat(config.findWorkspace(null), is(nullValue()));
        assertThat(config.requiresKey(), is(true));
    }

    @Test
    void choosesServiceByWeightAndIgnoresUsabilityIfNoneIsUsable() {
        Route route = route("r", "/", List.of(), new WeightedService("a", 90), new WeightedService("b", 10));
        assertThat(route.chooseService(0.89), is("a"));
        assertThat(route.chooseService(0.91), is("b"));
        assertThat(route.chooseService(0.1, s -> s.equals("b")), is("b"));
        assertThat(route.chooseService(0.1, s -> false), is("a"));
    }

    @Test
    void doesNotChooseServiceWithZeroWeight() {
        Route route = route("r", "/", List.of(), new WeightedService("a", 0), new WeightedService("b", 5));
        assertThat(route.chooseService(0), is("b"));
    }

    @Test
    void findsTerminalStagesThatHavePieces() {
        Route route = route(
                "r",
                "/",
                List.of(
                        new PieceStage("p", List.of(), 1),
                        new PieceStage("p", List.of(), 1),
                        new PieceStage("q", List.of(1), 1)),
                new WeightedService("a", 1));
        assertThat(route.terminalStages(List.of(2, 1, 6)), contains(0, 2));
        assertThat(route.terminalStages(List.of(0, 1, 6)), contains(2));
    }

    @Test
    void rejectsStageThatDependsOnItself() {
        assertThrows(
                ArgumentException.class,
                () -> route("r", "/", List.of(new PieceStage("p", List.of(0), 1)), new WeightedService("a", 1)));
    }
}

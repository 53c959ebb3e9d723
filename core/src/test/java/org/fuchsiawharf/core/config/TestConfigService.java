package org.fuchsiawharf.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.Workspace;
import org.fuchsiawharf.core.store.FaultyStore;
import org.fuchsiawharf.core.store.InMemoryStore;
import org.fuchsiawharf.core.store.KeyValueStore;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class TestConfigService {
    private static final ServingConfig INITIAL =
            new ServingConfig(0, Map.of(), Map.of(), Map.of("trial", new Workspace("trial", 1, 10, Priority.LOW)));

    private final InMemoryStore store = new InMemoryStore();
    private final ConfigService service = service(store);

    private static ConfigService service(KeyValueStore store) {
        return new ConfigService(store, INITIAL, () -> 1_000);
    }

    private static Intent weight(String workspace, int weight) {
        Workspace value = new Workspace(workspace, weight, 10, Priority.LOW);
        return new Intent(false, Map.of("workspaces/" + workspace, Json.tree(value)), null);
    }

    private int weightInForce(String workspace) {
        ServingConfig config = Objects.requireNonNull(service.load()).toConfig();
        return Objects.requireNonNull(config.getWorkspace(workspace)).weight();
    }

    @Test
    void changesNothingBeforeThePlanIsConfirmed() {
        Plan plan = service.plan(weight("trial", 5), "ops", "test");
        assertThat(weightInForce("trial"), is(1));
        assertThat(plan.differences().get(0).words(), is("workspaces/trial changes weight from 1 to 5"));
        service.confirm(plan.id(), "ops", "test");
        assertThat(weightInForce("trial"), is(5));
    }

    @Test
    void confirmsOnceHoweverOften() {
        Plan plan = service.plan(weight("trial", 5), "ops", "test");
        assertThat(service.confirm(plan.id(), "ops", "test").revision(), is(1L));
        assertThat(service.confirm(plan.id(), "ops", "test").revision(), is(1L));
        assertThat(service.listAudit(10), hasSize(1));
    }

    @Test
    void refusesAPlanWhoseItemWasChangedByAnother() {
        Plan mine = service.plan(weight("trial", 5), "ada", "test");
        Plan theirs = service.plan(weight("trial", 7), "bo", "test");
        service.confirm(theirs.id(), "bo", "test");
        ConfirmResult result = service.confirm(mine.id(), "ada", "test");
        assertThat(result.status(), is(ConfirmResult.Status.CONFLICT));
        assertThat(result.detail(), containsString("changed by bo in revision 1"));
        assertThat(weightInForce("trial"), is(7));
    }

    @Test
    void confirmsAPlanWhoseItemsNoOtherTouched() {
        Plan mine = service.plan(weight("mills", 5), "ada", "test");
        Plan theirs = service.plan(weight("pumps", 7), "bo", "test");
        service.confirm(theirs.id(), "bo", "test");
        assertThat(service.confirm(mine.id(), "ada", "test").revision(), is(2L));
        assertThat(weightInForce("mills"), is(5));
        assertThat(weightInForce("pumps"), is(7));
    }

    @Test
    void refusesAnUnknownPlan() {
        assertThat(service.confirm("none", "ops", "test").status(), is(ConfirmResult.Status.NO_PLAN));
    }

    @Test
    void refusesAMalformedItemAndNamesIt() {
        Intent bad = new Intent(false, Map.of("workspaces/x", Json.tree(Map.of("name", "x", "weight", -1))), null);
        WharfException e = assertThrows(WharfException.class, () -> service.plan(bad, "ops", "test"));
        assertThat(e.getMessage(), containsString("workspaces/x"));
    }

    @Test
    void refusesAnItemOfNoKnownKind() {
        Intent bad = new Intent(false, Map.of("colours/red", Json.tree(1)), null);
        assertThrows(WharfException.class, () -> service.plan(bad, "ops", "test"));
    }

    @Test
    void resolvesALostAnswerByReadingTheRoot() {
        Plan plan = service.plan(weight("trial", 5), "ops", "test");
        for (long seed = 1; seed <= 40; seed++) {
            ConfirmResult result = service(new FaultyStore(store, seed, 0, 0.5)).confirm(plan.id(), "ops", "test");
            assertThat(result.status(), is(ConfirmResult.Status.CONFIRMED));
        }
        assertThat(service.listAudit(10), hasSize(1));
    }

    @Test
    void saysUnavailableAndChangesNothingWhenTheServiceIsDown() {
        Plan plan = service.plan(weight("trial", 5), "ops", "test");
        ConfirmResult result = service(new FaultyStore(store, 1, 1, 0)).confirm(plan.id(), "ops", "test");
        assertThat(result.status(), is(ConfirmResult.Status.UNAVAILABLE));
        assertThat(weightInForce("trial"), is(1));
    }

    @Test
    void keepsTheWholeTrailAndShowsAChangedEntry() {
        for (int i = 1; i <= 120; i++) {
            Plan plan = service.plan(weight("trial", i + 1), "ops", "test");
            assertThat(service.confirm(plan.id(), "ops", "test").revision(), is((long) i));
        }
        List<AuditEntry> trail = service.listAudit(1_000);
        assertThat(trail, hasSize(120));
        assertThat(ConfigService.isIntact(trail), is(true));
        List<AuditEntry> changed = new ArrayList<>(trail);
        AuditEntry entry = changed.get(60);
        changed.set(
                60,
                new AuditEntry(
                        entry.revision(),
                        entry.planId(),
                        "someone",
                        entry.confirmedBy(),
                        entry.at(),
                        entry.source(),
                        entry.baseRevision(),
                        entry.items(),
                        entry.previousHash(),
                        entry.hash()));
        assertThat(ConfigService.isIntact(changed), is(false));
        changed = new ArrayList<>(trail);
        changed.remove(60);
        assertThat(ConfigService.isIntact(changed), is(false));
    }

    @Test
    void confirmsAgainAPlanThatStandsInAnOlderSegment() {
        Plan first = service.plan(weight("first", 2), "ops", "test");
        service.confirm(first.id(), "ops", "test");
        for (int i = 1; i <= 80; i++) {
            service.confirm(service.plan(weight("trial", i + 1), "ops", "test").id(), "ops", "test");
        }
        assertThat(service.confirm(first.id(), "ops", "test").revision(), is(1L));
    }

    @Test
    void losesNoUpdateOfRacingWriters() throws Exception {
        int writers = 5;
        int plans = 40;
        ExecutorService threads = Executors.newFixedThreadPool(writers);
        List<Future<Set<String>>> futures = new ArrayList<>();
        for (int w = 0; w < writers; w++) {
            int writer = w;
            futures.add(threads.submit(() -> confirmMany(writer, plans)));
        }
        Set<String> confirmed = new HashSet<>();
        for (Future<Set<String>> future : futures) {
            confirmed.addAll(future.get(60, TimeUnit.SECONDS));
        }
        threads.shutdown();
        List<AuditEntry> trail = service.listAudit(10_000);
        Set<String> inTrail = new HashSet<>();
        trail.forEach(entry -> inTrail.add(entry.planId()));
        assertThat(inTrail, is(confirmed));
        assertThat(trail, hasSize(confirmed.size()));
        assertThat(ConfigService.isIntact(trail), is(true));
        for (int i = 0; i < trail.size(); i++) {
            assertThat(trail.get(i).revision(), is((long) trail.size() - i));
        }
    }

    private Set<String> confirmMany(int writer, int plans) {
        ConfigService own = service(new FaultyStore(store, writer + 1, 0.02, 0.1));
        SplittableRandom random = new SplittableRandom(writer);
        Set<String> confirmed = new HashSet<>();
        for (int i = 0; i < plans; i++) {
            Plan plan;
            try {
                plan = own.plan(weight("w" + random.nextInt(4), 1 + random.nextInt(900)), "writer" + writer, "t" + i);
            } catch (WharfException e) {
                continue;
            }
            ConfirmResult result = own.confirm(plan.id(), "writer" + writer, "test");
            while (result.status() == ConfirmResult.Status.UNKNOWN
                    || result.status() == ConfirmResult.Status.UNAVAILABLE) {
                result = own.confirm(plan.id(), "writer" + writer, "test");
            }
            if (result.status() == ConfirmResult.Status.CONFIRMED) {
                confirmed.add(plan.id());
            }
        }
        return confirmed;
    }

    @Test
    void listsEffectsAndWarnings() {
        Plan plan = service.plan(new Intent(false, null, List.of("workspaces/trial")), "ops", "test");
        assertThat(plan.effects(), contains("new requests of workspace trial are refused; running ones go on"));
        assertThat(plan.warnings(), contains("no workspace is left: every request is refused"));
    }
}

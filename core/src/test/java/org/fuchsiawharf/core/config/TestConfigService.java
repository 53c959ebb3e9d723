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

    private static Intent setWeight(String workspace, int weight) {
        Workspace value = new Workspace(workspace, weight, 10, Priority.LOW);
        return new Intent(false, Map.of("workspaces/" + workspace, Json.toTree(value)), null);
    }

    private int currentWeight(String workspace) {
        ServingConfig config = Objects.requireNonNull(service.load()).toConfig();
        return Objects.requireNonNull(config.getWorkspace(workspace)).weight();
    }

    @Test
    void appliesChangeOnlyAfterConfirmation() {
        Plan plan = service.plan(setWeight("trial", 5), "ops", "test");
        assertThat(currentWeight("trial"), is(1));
        assertThat(plan.differences().get(0).words(), is("workspaces/trial changes weight from 1 to 5"));
        service.confirm(plan.id(), "ops", "test");
        assertThat(currentWeight("trial"), is(5));
    }

    @Test
    void confirmsPlanOnceOnRepeatedConfirmation() {
        Plan plan = service.plan(setWeight("trial", 5), "ops", "test");
        assertThat(service.confirm(plan.id(), "ops", "test").revision(), is(1L));
        assertThat(service.confirm(plan.id(), "ops", "test").revision(), is(1L));
        assertThat(service.listAuditEntries(10), hasSize(1));
    }

    @Test
    void rejectsPlanWhoseItemWasChangedByAnotherPlan() {
        Plan firstPlan = service.plan(setWeight("trial", 5), "ada", "test");
        Plan concurrentPlan = service.plan(setWeight("trial", 7), "bo", "test");
        service.confirm(concurrentPlan.id(), "bo", "test");
        ConfirmResult result = service.confirm(firstPlan.id(), "ada", "test");
        assertThat(result.status(), is(ConfirmResult.Status.CONFLICT));
        assertThat(result.detail(), containsString("changed by bo in revision 1"));
        assertThat(currentWeight("trial"), is(7));
    }

    @Test
    void confirmsPlanWhenOtherPlanChangedOtherItems() {
        Plan firstPlan = service.plan(setWeight("mills", 5), "ada", "test");
        Plan concurrentPlan = service.plan(setWeight("pumps", 7), "bo", "test");
        service.confirm(concurrentPlan.id(), "bo", "test");
        assertThat(service.confirm(firstPlan.id(), "ada", "test").revision(), is(2L));
        assertThat(currentWeight("mills"), is(5));
        assertThat(currentWeight("pumps"), is(7));
    }

    @Test
    void rejectsUnknownPlan() {
        assertThat(service.confirm("none", "ops", "test").status(), is(ConfirmResult.Status.NO_PLAN));
    }

    @Test
    void rejectsMalformedItemWithItsNameInMessage() {
        Intent malformed =
                new Intent(false, Map.of("workspaces/x", Json.toTree(Map.of("name", "x", "weight", -1))), null);
        WharfException e = assertThrows(WharfException.class, () -> service.plan(malformed, "ops", "test"));
        assertThat(e.getMessage(), containsString("workspaces/x"));
    }

    @Test
    void rejectsItemOfUnknownKind() {
        Intent unknownKind = new Intent(false, Map.of("colours/red", Json.toTree(1)), null);
        assertThrows(WharfException.class, () -> service.plan(unknownKind, "ops", "test"));
    }

    @Test
    void resolvesLostWriteResponseByReadingRoot() {
        Plan plan = service.plan(setWeight("trial", 5), "ops", "test");
        for (long seed = 1; seed <= 40; seed++) {
            ConfirmResult result = service(new FaultyStore(store, seed, 0, 0.5)).confirm(plan.id(), "ops", "test");
            assertThat(result.status(), is(ConfirmResult.Status.CONFIRMED));
        }
        assertThat(service.listAuditEntries(10), hasSize(1));
    }

    @Test
    void returnsUnavailableWithoutChangeWhenStoreIsUnavailable() {
        Plan plan = service.plan(setWeight("trial", 5), "ops", "test");
        ConfirmResult result = service(new FaultyStore(store, 1, 1, 0)).confirm(plan.id(), "ops", "test");
        assertThat(result.status(), is(ConfirmResult.Status.UNAVAILABLE));
        assertThat(currentWeight("trial"), is(1));
    }

    @Test
    void keepsWholeAuditTrailAndDetectsModifiedOrRemovedEntry() {
        for (int i = 1; i <= 120; i++) {
            Plan plan = service.plan(setWeight("trial", i + 1), "ops", "test");
            assertThat(service.confirm(plan.id(), "ops", "test").revision(), is((long) i));
        }
        List<AuditEntry> trail = service.listAuditEntries(1_000);
        assertThat(trail, hasSize(120));
        assertThat(ConfigService.isIntact(trail), is(true));
        List<AuditEntry> modifiedTrail = new ArrayList<>(trail);
        AuditEntry entry = modifiedTrail.get(60);
        modifiedTrail.set(
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
        assertThat(ConfigService.isIntact(modifiedTrail), is(false));
        modifiedTrail = new ArrayList<>(trail);
        modifiedTrail.remove(60);
        assertThat(ConfigService.isIntact(modifiedTrail), is(false));
    }

    @Test
    void returnsEarlierRevisionForPlanInOlderSegment() {
        Plan first = service.plan(setWeight("first", 2), "ops", "test");
        service.confirm(first.id(), "ops", "test");
        for (int i = 1; i <= 80; i++) {
            service.confirm(
                    service.plan(setWeight("trial", i + 1), "ops", "test").id(), "ops", "test");
        }
        assertThat(service.confirm(first.id(), "ops", "test").revision(), is(1L));
    }

    @Test
    void losesNoUpdateOfConcurrentWriters() throws Exception {
        int writers = 5;
        int plans = 40;
        ExecutorService executor = Executors.newFixedThreadPool(writers);
        List<Future<Set<String>>> futures = new ArrayList<>();
        for (int writerIndex = 0; writerIndex < writers; writerIndex++) {
            int writer = writerIndex;
            futures.add(executor.submit(() -> confirmMany(writer, plans)));
        }
        Set<String> confirmedPlanIds = new HashSet<>();
        for (Future<Set<String>> future : futures) {
            confirmedPlanIds.addAll(future.get(60, TimeUnit.SECONDS));
        }
        executor.shutdown();
        List<AuditEntry> trail = service.listAuditEntries(10_000);
        Set<String> auditedPlanIds = new HashSet<>();
        trail.forEach(entry -> auditedPlanIds.add(entry.planId()));
        assertThat(auditedPlanIds, is(confirmedPlanIds));
        assertThat(trail, hasSize(confirmedPlanIds.size()));
        assertThat(ConfigService.isIntact(trail), is(true));
        for (int i = 0; i < trail.size(); i++) {
            assertThat(trail.get(i).revision(), is((long) trail.size() - i));
        }
    }

    private Set<String> confirmMany(int writer, int plans) {
        ConfigService writerService = service(new FaultyStore(store, writer + 1, 0.02, 0.1));
        SplittableRandom random = new SplittableRandom(writer);
        Set<String> confirmedPlanIds = new HashSet<>();
        for (int i = 0; i < plans; i++) {
            Plan plan;
            try {
                plan = writerService.plan(
                        setWeight("w" + random.nextInt(4), 1 + random.nextInt(900)), "writer" + writer, "t" + i);
            } catch (WharfException e) {
                continue;
            }
            ConfirmResult result = writerService.confirm(plan.id(), "writer" + writer, "test");
            while (result.status() == ConfirmResult.Status.UNKNOWN
                    || result.status() == ConfirmResult.Status.UNAVAILABLE) {
                result = writerService.confirm(plan.id(), "writer" + writer, "test");
            }
            if (result.status() == ConfirmResult.Status.CONFIRMED) {
                confirmedPlanIds.add(plan.id());
            }
        }
        return confirmedPlanIds;
    }

    @Test
    void listsEffectsAndWarnings() {
        Plan plan = service.plan(new Intent(false, null, List.of("workspaces/trial")), "ops", "test");
        assertThat(plan.effects(), contains("new requests of workspace trial are refused; running ones go on"));
        assertThat(plan.warnings(), contains("no workspace is left: every request is refused"));
    }
}

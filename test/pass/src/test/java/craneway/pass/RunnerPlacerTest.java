package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.node.Membership;
import craneway.data.placement.ColdRunnerLimiter;
import craneway.data.placement.Prompt;
import craneway.data.placement.RetryBudget;
import craneway.data.placement.RunnerPlacer;
import craneway.data.placement.RunnerPool;
import craneway.model.manifest.ManifestReader;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which runner the {@link RunnerPlacer} selects for a prompt, without sockets. */
class RunnerPlacerTest {
    private static final int RUNNERS_PER_CELL = 3;
    private final Rows.Service serviceRow = new Rows.Service();
    private final Rows.Manifest manifestRow = new Rows.Manifest();
    private final RunnerPool pool = new RunnerPool();

    private RunnerPlacerTest() {
        serviceRow.name = "s";
        serviceRow.regions.addAll(List.of("ra", "rb"));
        serviceRow.cells.addAll(List.of("a", "b"));
        serviceRow.zones.addAll(List.of("a", "b"));
        serviceRow.cellRegions.addAll(List.of("ra", "rb"));
        serviceRow.weights.addAll(List.of(1, 1));
        serviceRow.homeCells = new int[400];
        for (var unit = 200; unit < 300; unit++) serviceRow.homeCells[unit] = 1;
        for (var unit = 300; unit < 400; unit++) serviceRow.homeCells[unit] = unit % 2;
        for (var i = 0; i < RUNNERS_PER_CELL; i++) {
            putRunner("a" + i, "a", false);
            putRunner("b" + i, "b", false);
        }
        publishView();
    }

    private Rows.Runner putRunner(String id, String cell, boolean cold) {
        var row = new Rows.Runner();
        row.name = id;
        row.address = "127.0.0.1:1";
        row.cell = cell;
        row.slots = 8;
        row.incarnation = 1;
        row.cold = cold;
        serviceRow.runners.put(id, row);
        return row;
    }

    private void publishView() {
        var members = new ArrayList<List<Node>>();
        for (var i = 0; i < 4; i++)
            members.add(IntStream.range(0, 20).mapToObj(n -> router("r" + n)).toList());
        pool.applyView(new Membership.CoreView(
                manifestRow,
                ManifestReader.read(ProxyRig.MANIFEST).get(),
                new HashMap<>(Map.of("s", serviceRow)),
                new long[4],
                members,
                0,
                new long[4]));
    }

    private static Node router(String name) {
        var node = new Node(name, Node.ROUTER, "a", "127.0.0.1:1", 1);
        return node.with(1, true);
    }

    private RunnerPlacer placerAt(String router, String zone, String region) {
        return new RunnerPlacer(pool, new ColdRunnerLimiter(router), zone, region);
    }

    private RunnerPlacer.Placement selectRunner(RunnerPlacer placer, String routeName, Prompt prompt) {
        var route = pool.view().manifest().routes().match("h.example", "/" + routeName + "/x");
        return placer.selectRunner(route, "s", prompt, Set.of(), 10_000_000);
    }

    @Test
    void shortPromptsStayInRegionOfArrival() {
        for (var i = 0; i < 50; i++) {
            var prompt = Prompt.parse("aa:50,b" + i + ":60,c" + i + ":500", "610,100");
            assertEquals(
                    "ra",
                    selectRunner(placerAt("r1", "a", "ra"), "once", prompt).runner().region);
            assertEquals(
                    "rb",
                    selectRunner(placerAt("r2", "b", "rb"), "once", prompt).runner().region);
        }
    }

    @Test
    void longSharedPrefixIsPlacedOnSameRunnerFromAllRegions() {
        var selectedRunners = new HashSet<String>();
        for (var i = 0; i < 50; i++) {
            var prompt = Prompt.parse("aa:2500,b" + i + ":3700,c" + i + ":2800", "9000,50");
            var fromRegionA =
                    selectRunner(placerAt("r1", "a", "ra"), "once", prompt).runner();
            var fromRegionB =
                    selectRunner(placerAt("r2", "b", "rb"), "once", prompt).runner();
            assertEquals(fromRegionA.id(), fromRegionB.id());
            selectedRunners.add(fromRegionA.id());
        }
        assertTrue(selectedRunners.size() > RUNNERS_PER_CELL, selectedRunners.toString());
    }

    @Test
    void routesStayWithinTheirRegions() {
        for (var i = 0; i < 50; i++)
            assertEquals(
                    "rb",
                    selectRunner(placerAt("r1", "a", "ra"), "home", Prompt.parse("b" + i + ":60,c:5", "65,9"))
                            .runner()
                            .region);
    }

    @Test
    void longPrefillsAreSpreadOverRunners() {
        var placer = placerAt("r1", "a", "ra");
        var prompt = Prompt.parse("aa:2500,bb:3700,c:2800", "9000,50");
        var selectedRunners = new HashSet<String>();
        for (var i = 0; i < 6; i++) {
            var placement = selectRunner(placer, "once", prompt);
            placer.recordStart(placement, prompt, 10_000_000);
            selectedRunners.add(placement.runner().id());
        }
        assertTrue(selectedRunners.size() > 1, selectedRunners.toString());
    }

    @Test
    void prefillQueuedByOtherRoutersCounts() {
        var placer = placerAt("r1", "a", "ra");
        var prompt = Prompt.parse("aa:2500,bb:3700,c:2800", "9000,50");
        var first = selectRunner(placer, "once", prompt);
        pool.recordPrefill(first.runner(), 60_000, 10_000_000);
        var other = selectRunner(placer, "once", prompt);
        assertNotEquals(first.runner().id(), other.runner().id());
        var later = placer.selectRunner(
                pool.view().manifest().routes().match("h.example", "/once/x"), "s", prompt, Set.of(), 20_000_000);
        assertEquals(first.runner().id(), later.runner().id());
    }

    @Test
    void partsCachedThroughOtherRoutersAreReused() {
        var placer = placerAt("r1", "a", "ra");
        var prompt = Prompt.parse("aa:2500,bb:3700,c:2800", "9000,50");
        var first = selectRunner(placer, "once", prompt);
        assertEquals(9_000, first.prefillTokens());
        var other = pool.allRunners().stream()
                .filter(r -> r.region.equals(first.runner().region) && r != first.runner())
                .findFirst()
                .orElseThrow();
        other.recordCachedParts(prompt.sharedPartIds(), prompt.sharedPartTokens());
        var next = selectRunner(placer, "once", prompt);
        assertEquals(other.id(), next.runner().id());
        assertEquals(2_800, next.prefillTokens());
    }

    @Test
    void longPromptWaitsWhilePrefillBacklogIsLarge() {
        var placer = placerAt("r1", "a", "ra");
        var prompt = Prompt.parse("aa:2500,bb:3700,c:2800", "9000,50");
        for (var r : pool.allRunners()) pool.recordPrefill(r, 9_000, 10_000_000);
        assertTrue(placer.shouldWait(selectRunner(placer, "once", prompt), 10_000_000));
        var later = placer.selectRunner(
                pool.view().manifest().routes().match("h.example", "/once/x"), "s", prompt, Set.of(), 11_000_000);
        assertFalse(placer.shouldWait(later, 11_000_000));
    }

    @Test
    void suspectedRunnerIsAvoidedUntilHeardFromAgain() {
        var placer = placerAt("r1", "a", "ra");
        var prompt = Prompt.parse("bb:60,c:5", "65,9");
        var first = selectRunner(placer, "once", prompt).runner();
        first.markSuspected(9_900_000);
        assertNotEquals(
                first.id(), selectRunner(placer, "once", prompt).runner().id());
        first.recordHeard(9_950_000);
        assertEquals(first.id(), selectRunner(placer, "once", prompt).runner().id());
    }

    @Test
    void coldRunnerRateHoldsAcrossAllRouters() {
        serviceRow.runners.clear();
        putRunner("a0", "a", true);
        publishView();
        var prompt = Prompt.parse("bb:60,c:5", "65,9");
        var placers = IntStream.range(0, 20)
                .mapToObj(i -> placerAt("r" + i, "a", "ra"))
                .toList();
        var route = pool.view().manifest().routes().match("h.example", "/once/x");
        var startsPerSecond = new int[3];
        for (var elapsedMillis = 0; elapsedMillis < 3_000; elapsedMillis += 10) {
            for (var placer : placers) {
                var nowMicros = 10_000_000 + elapsedMillis * 1_000L;
                var placement = placer.selectRunner(route, "s", prompt, Set.of(), nowMicros);
                if (placement == null) continue;
                placer.recordStart(placement, prompt, nowMicros);
                placer.recordEnd(placement, prompt);
                startsPerSecond[elapsedMillis / 1_000]++;
            }
        }
        for (var starts : startsPerSecond) assertTrue(starts <= 9 && starts > 0, Arrays.toString(startsPerSecond));
    }

    @Test
    void emptiedZonesAndLeavingRunnersAreNotSelected() {
        manifestRow.marks.put("zone:a", "emptied");
        publishView();
        var prompt = Prompt.parse("bb:60,c:5", "65,9");
        assertEquals(
                "b", selectRunner(placerAt("r1", "a", "ra"), "once", prompt).runner().zone);
        for (var r : serviceRow.runners.values()) r.state = Rows.Runner.LEAVING;
        publishView();
        assertNull(selectRunner(placerAt("r1", "a", "ra"), "once", prompt));
    }

    @Test
    void retryBudgetOfAllRoutersStaysWithinItsBounds() {
        var budgets = IntStream.range(0, 10)
                .mapToObj(i -> new RetryBudget(10_000_000, 0.2, 60))
                .toList();
        var requestCount = 0;
        var retryCount = 0;
        for (var nowMicros = 0L; nowMicros < 10_000_000; nowMicros += 10_000) {
            var budget = budgets.get((int) (nowMicros / 10_000 % 10));
            budget.recordRequest(nowMicros);
            requestCount++;
            for (var attempt = 0; attempt < 3; attempt++) if (budget.tryAcquire(10, nowMicros)) retryCount++;
        }
        assertTrue(retryCount > 0 && retryCount <= 0.2 * requestCount + 60, retryCount + " of " + requestCount);
    }

    @Test
    void malformedPartsAreIgnored() {
        assertEquals(0, Prompt.parse("", null).sharedPartCount());
        assertEquals(0, Prompt.parse(null, "x,y").promptTokens());
        assertEquals(0, Prompt.parse("a:-5", "7").partTokens()[0]);
        assertNotNull(Prompt.parse("::::,,,", "1,2,3"));
        assertFalse(Prompt.parse("a:1," + "b:1,".repeat(100), "5,5").partIds().length > 64);
    }

    @Test
    void streamDoesNotResumeOnSuspectedRunnerOfSameZone() {
        var placer = placerAt("r1", "a", "ra");
        var prompt = Prompt.parse("bb:60,c:5", "65,9");
        var route = pool.view().manifest().routes().match("h.example", "/once/x");
        var runnersInZoneA =
                pool.allRunners().stream().filter(r -> r.zone.equals("a")).toList();
        for (var r : runnersInZoneA) {
            placer.recordStart(new RunnerPlacer.Placement(r, 5, 0, true, true, 0, 0), prompt, 9_000_000);
            r.recordHeard(9_300_000);
        }
        runnersInZoneA.get(0).markSuspected(10_000_000);
        runnersInZoneA.get(1).markSuspected(10_000_000);
        assertEquals(
                "b",
                placer.selectRunner(
                                route,
                                "s",
                                prompt,
                                Set.of(
                                        runnersInZoneA.get(0).id(),
                                        runnersInZoneA.get(1).id()),
                                10_000_000)
                        .runner()
                        .zone);
    }
}

package craneway.standin;

import java.io.IOException;

/** Injects faults into a fleet of processes. */
public final class FaultInjector {
    private FaultInjector() {}

    /**
     * Injects one fault, waits until it has taken effect, and resumes a frozen process.
     *
     * @param fault the name of a fault, such as {@code kill-runner}; it acts on a fixed process of its kind, {@code
     *     start-all} and {@code rolling} on all
     * @throws IllegalArgumentException if there is no such fault
     */
    public static void inject(Fleet fleet, String fault) throws IOException, InterruptedException {
        var stores = fleet.processNames("stores");
        var routers = fleet.processNames("routers");
        var runners = fleet.processNames("runners");
        switch (fault) {
            case "kill-runner" -> fleet.kill(runners.get(0));
            case "restart-runner" -> {
                fleet.stop(runners.get(1));
                fleet.start(runners.get(1));
            }
            case "stop-router" -> fleet.stop(routers.get(0));
            case "stop-store" -> fleet.stop(stores.get(0));
            case "kill-router" -> fleet.kill(routers.get(1));
            case "kill-store" -> fleet.kill(stores.get(1));
            case "start-all" -> {
                for (var name : stores) if (!fleet.isRunning(name)) fleet.start(name);
                for (var name : routers) if (!fleet.isRunning(name)) fleet.start(name);
                for (var name : runners) if (!fleet.isRunning(name)) fleet.start(name);
                fleet.awaitCondition(
                        "all ready",
                        () -> stores.stream().allMatch(fleet::isReady)
                                && routers.stream().allMatch(fleet::isReady));
            }
            case "freeze-router" -> {
                fleet.sendSignal(routers.get(2), "STOP");
                fleet.awaitCondition("its lease has lapsed", () -> fleet.hasLeaseLapsed(routers.get(2)));
                fleet.sendSignal(routers.get(2), "CONT");
            }
            case "freeze-store" -> {
                fleet.sendSignal(stores.get(2), "STOP");
                fleet.awaitCondition("its lease has lapsed", () -> fleet.hasLeaseLapsed(stores.get(2)));
                fleet.sendSignal(stores.get(2), "CONT");
            }
            case "wipe-store" -> {
                fleet.kill(stores.get(1));
                fleet.deleteData(stores.get(1));
                fleet.start(stores.get(1));
                fleet.awaitCondition("the new store votes", () -> fleet.isVoterInEveryGroup(stores.get(1)));
            }
            case "rolling" -> restartAllInTurn(fleet);
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    /** Restarts the stores and then the routers one by one, each after the one before is ready again. */
    private static void restartAllInTurn(Fleet fleet) throws IOException, InterruptedException {
        for (var name : fleet.processNames("stores")) restart(fleet, name);
        for (var name : fleet.processNames("routers")) restart(fleet, name);
    }

    private static void restart(Fleet fleet, String name) throws IOException, InterruptedException {
        fleet.stop(name);
        fleet.start(name);
        fleet.awaitCondition(name + " ready", () -> fleet.isReady(name));
    }
}

package craneway.standin;

import java.io.IOException;

/** Injects faults into a fleet of processes. */
public final class Faults {
    private Faults() {}

    /**
     * Injects one fault, waits until it has taken effect, and resumes a frozen process.
     *
     * @param fault the name of a fault, such as {@code kill-runner}; it acts on a fixed process of its kind, {@code
     *     start-all} and {@code rolling} on all
     * @throws IllegalArgumentException if there is no such fault
     */
    public static void bring(Fleet fleet, String fault) throws IOException, InterruptedException {
        var stores = fleet.names("stores");
        var routers = fleet.names("routers");
        var runners = fleet.names("runners");
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
                fleet.await(
                        "all ready",
                        () -> stores.stream().allMatch(fleet::ready)
                                && routers.stream().allMatch(fleet::ready));
            }
            case "freeze-router" -> {
                fleet.signal(routers.get(2), "STOP");
                fleet.await("its lease has lapsed", () -> fleet.lapsed(routers.get(2)));
                fleet.signal(routers.get(2), "CONT");
            }
            case "freeze-store" -> {
                fleet.signal(stores.get(2), "STOP");
                fleet.await("its lease has lapsed", () -> fleet.lapsed(stores.get(2)));
                fleet.signal(stores.get(2), "CONT");
            }
            case "wipe-store" -> {
                fleet.kill(stores.get(1));
                fleet.wipe(stores.get(1));
                fleet.start(stores.get(1));
                fleet.await("the new store votes", () -> fleet.votes(stores.get(1)));
            }
            case "rolling" -> restartAllInTurn(fleet);
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    /** Restarts the stores and then the routers one by one, each after the one before is ready again. */
    private static void restartAllInTurn(Fleet fleet) throws IOException, InterruptedException {
        for (var name : fleet.names("stores")) restart(fleet, name);
        for (var name : fleet.names("routers")) restart(fleet, name);
    }

    private static void restart(Fleet fleet, String name) throws IOException, InterruptedException {
        fleet.stop(name);
        fleet.start(name);
        fleet.await(name + " ready", () -> fleet.ready(name));
    }
}

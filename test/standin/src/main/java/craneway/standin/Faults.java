package craneway.standin;

import java.io.IOException;

public final class Faults {
    private Faults() {}

    public static void bring(Fleet f, String fault) throws IOException, InterruptedException {
        var stores = f.names("stores");
        var routers = f.names("routers");
        var runners = f.names("runners");
        switch (fault) {
            case "kill-runner" -> f.kill(runners.get(0));
            case "restart-runner" -> {
                f.stop(runners.get(1));
                f.start(runners.get(1));
            }
            case "stop-router" -> f.stop(routers.get(0));
            case "stop-store" -> f.stop(stores.get(0));
            case "kill-router" -> f.kill(routers.get(1));
            case "kill-store" -> f.kill(stores.get(1));
            case "start-all" -> {
                for (var n : stores) if (!f.isRunning(n)) f.start(n);
                for (var n : routers) if (!f.isRunning(n)) f.start(n);
                for (var n : runners) if (!f.isRunning(n)) f.start(n);
                f.await(
                        "all ready",
                        () -> stores.stream().allMatch(f::ready)
                                && routers.stream().allMatch(f::ready));
            }
            case "freeze-router" -> {
                f.signal(routers.get(2), "STOP");
                f.await("its lease has lapsed", () -> f.lapsed(routers.get(2)));
                f.signal(routers.get(2), "CONT");
            }
            case "freeze-store" -> {
                f.signal(stores.get(2), "STOP");
                f.await("its lease has lapsed", () -> f.lapsed(stores.get(2)));
                f.signal(stores.get(2), "CONT");
            }
            case "wipe-store" -> {
                f.kill(stores.get(1));
                f.wipe(stores.get(1));
                f.start(stores.get(1));
                f.await("the new store votes", () -> f.votes(stores.get(1)));
            }
            case "rolling" -> restartAllInTurn(f);
            default -> throw new IllegalArgumentException("no fault " + fault);
        }
    }

    private static void restartAllInTurn(Fleet f) throws IOException, InterruptedException {
        for (var n : f.names("stores")) restart(f, n);
        for (var n : f.names("routers")) restart(f, n);
    }

    private static void restart(Fleet f, String name) throws IOException, InterruptedException {
        f.stop(name);
        f.start(name);
        f.await(name + " ready", () -> f.ready(name));
    }
}

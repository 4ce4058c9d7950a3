package craneway.standin;

import java.io.IOException;

public final class FaultInjector {
    private FaultInjector() {}

    public static void inject(Fleet f, String fault) throws IOException, InterruptedException {
        var stores = f.processNames("stores");
        var routers = f.processNames("routers");
        var runners = f.processNames("runners");
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
                f.awaitCondition(
                        "all ready",
                        () -> stores.stream().allMatch(f::isReady)
                                && routers.stream().allMatch(f::isReady));
            }
            case "freeze-router" -> {
                f.sendSignal(routers.get(2), "STOP");
                f.awaitCondition("its lease has lapsed", () -> f.hasLeaseLapsed(routers.get(2)));
                f.sendSignal(routers.get(2), "CONT");
            }
            case "freeze-store" -> {
                f.sendSignal(stores.get(2), "STOP");
                f.awaitCondition("its lease has lapsed", () -> f.hasLeaseLapsed(stores.get(2)));
                f.sendSignal(stores.get(2), "CONT");
            }
            case "wipe-store" -> {
                f.kill(stores.get(1));
                f.deleteData(stores.get(1));
                f.start(stores.get(1));
                f.awaitCondition("the new store votes", () -> f.isVoterInEveryGroup(stores.get(1)));
            }
            case "rolling" -> rolling(f);
            default -> throw new IllegalArgumentException("no fault " + fault);
        }
    }

    private static void rolling(Fleet f) throws IOException, InterruptedException {
        for (var n : f.processNames("stores")) again(f, n);
        for (var n : f.processNames("routers")) again(f, n);
    }

    private static void again(Fleet f, String name) throws IOException, InterruptedException {
        f.stop(name);
        f.start(name);
        f.awaitCondition(name + " ready", () -> f.isReady(name));
    }
}

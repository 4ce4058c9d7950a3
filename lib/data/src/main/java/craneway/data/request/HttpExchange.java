package craneway.data.request;

import craneway.model.problem.Problem;
import java.util.Map;

public interface HttpExchange {
    String TENANT_HEADER = "craneway-tenant",
            WORK_HEADER = "craneway-work",
            KEY_HEADER = "craneway-key",
            REGIONS_HEADER = "craneway-regions",
            DEADLINE_MS_HEADER = "craneway-deadline-ms",
            HOP_HEADER = "craneway-hop",
            TRANSACTION_HEADER = "craneway-transaction",
            PROBLEM_HEADER = "craneway-problem",
            RETRY_MICROS_HEADER = "craneway-retry-micros",
            LOAD_HEADER = "craneway-load",
            MANIFEST_VERSION_HEADER = "craneway-manifest",
            TABLE_VERSION_HEADER = "craneway-table";
    String RUNNER_PATH = "/v1/chat/completions", ROUTER_PATH = "/transaction";

    interface OutgoingCall {
        void acknowledgeChunk();

        void cancel();
    }

    interface ResponseListener {
        void onRefused();

        void onStatus(int code, Map<String, String> headers);

        void onChunk(byte[] b);

        void onEnd();

        void onBroken();
    }

    void runLater(Runnable step);

    OutgoingCall openCall(String address, String path, Map<String, String> headers, byte[] body, ResponseListener sink);

    void startResponse();

    boolean writeChunk(byte[] b);

    void endResponse();

    void sendProblem(Problem p);

    void abortResponse(Problem p, boolean started);
}

package craneway.process;

import java.util.List;

public final class InvalidSettingsException extends RuntimeException {
    public InvalidSettingsException(List<String> wrong) {
        super("startup values are wrong:\n  - " + String.join("\n  - ", wrong));
    }
}

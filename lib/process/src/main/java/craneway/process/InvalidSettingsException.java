package craneway.process;

import java.util.List;

/** The settings of a process are invalid; the message lists every fault found, one per line. */
public final class InvalidSettingsException extends RuntimeException {
    /**
     * Creates the exception.
     *
     * @param faults a description of each fault
     */
    public InvalidSettingsException(List<String> faults) {
        super("the startup settings are invalid:\n  - " + String.join("\n  - ", faults));
    }
}

package craneway.log;

import java.util.logging.LogManager;

/**
 * A log manager that ignores {@link #reset}. The default one resets itself in a shutdown hook and closes its handlers,
 * which would lose the events that a process logs while it shuts down.
 */
public final class ResetFreeLogManager extends LogManager {
    @Override
    public void reset() {}
}

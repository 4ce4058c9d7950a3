package craneway.log;

import com.google.common.flogger.FluentLogger;
import craneway.model.event.Event;
import craneway.model.event.EventSink;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Writes the events of one process as lines to standard error. Safe for several threads. */
public final class EventLog implements EventSink {
    static {
        System.setProperty("java.util.logging.manager", ResetFreeLogManager.class.getName());
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final String node;

    /** Creates the log of the process with this name and configures java.util.logging for the whole process. */
    public EventLog(String node) {
        this.node = node;
        configureLogging();
    }

    /**
     * Configures java.util.logging to write one line per record to standard error. Records of other libraries are left
     * out unless they are severe.
     */
    public static void configureLogging() {
        var root = Logger.getLogger("");
        for (var handler : root.getHandlers()) root.removeHandler(handler);
        var console = new ConsoleHandler();
        console.setFormatter(new LineFormatter());
        root.addHandler(console);
        console.setFilter(record -> record.getLoggerName() == null
                || record.getLoggerName().startsWith("craneway")
                || record.getLevel().intValue() >= Level.SEVERE.intValue());
    }

    @Override
    public void logEvent(Event event, String detail) {
        LOG
                .at(
                        event == Event.INTERNAL_ERROR
                                        || event == Event.DATA_DIRECTORY_DAMAGED
                                        || event == Event.DISK_WRITE_FAILED
                                ? Level.WARNING
                                : Level.INFO)
                .log("CW%d %s %s: %s", event.code(), node, event.text(), detail);
    }

    /** Logs an unexpected exception as {@link Event#INTERNAL_ERROR} with its stack trace. */
    public void logInternalError(Throwable exception) {
        var stackTrace = new StringWriter();
        exception.printStackTrace(new PrintWriter(stackTrace));
        logEvent(Event.INTERNAL_ERROR, stackTrace.toString());
    }

    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord record) {
            return Instant.ofEpochMilli(record.getMillis()) + " " + record.getLevel() + " " + formatMessage(record)
                    + "\n";
        }
    }
}

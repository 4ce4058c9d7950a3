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

public final class EventLog implements EventSink {
    static {
        System.setProperty("java.util.logging.manager", ResetFreeLogManager.class.getName());
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final String node;

    public EventLog(String node) {
        this.node = node;
        configureLogging();
    }

    public static void configureLogging() {
        var root = Logger.getLogger("");
        for (var h : root.getHandlers()) root.removeHandler(h);
        var h = new ConsoleHandler();
        h.setFormatter(new Line());
        root.addHandler(h);
        h.setFilter(r -> r.getLoggerName() == null
                || r.getLoggerName().startsWith("craneway")
                || r.getLevel().intValue() >= Level.SEVERE.intValue());
    }

    @Override
    public void logEvent(Event e, String detail) {
        LOG.at(e == Event.INTERNAL_ERROR || e == Event.DATA_DIRECTORY_DAMAGED || e == Event.DISK_WRITE_FAILED ? Level.WARNING : Level.INFO).log(
                "CW%d %s %s: %s", e.code(), node, e.text(), detail);
    }

    public void logInternalError(Throwable t) {
        var w = new StringWriter();
        t.printStackTrace(new PrintWriter(w));
        logEvent(Event.INTERNAL_ERROR, w.toString());
    }

    private static final class Line extends Formatter {
        @Override
        public String format(LogRecord r) {
            return Instant.ofEpochMilli(r.getMillis()) + " " + r.getLevel() + " " + formatMessage(r) + "\n";
        }
    }
}

package craneway.gateway.proxy;

import java.nio.ByteBuffer;

/**
 * Tracks the position of an event stream: id and weight version of the last event relayed. It checks that each event
 * follows the one before. Ids must ascend. A run that continues the stream must have the same weight version and, if
 * ids are whole numbers, must skip no more than the largest step between two ids so far. No I/O. Not thread-safe.
 */
final class StreamPosition {
    private static final int MAX_NUMBER_DIGITS = 18;
    private static final int NOT_A_NUMBER = -1;

    private String lastEventId;
    private long lastEventNumber = NOT_A_NUMBER;
    private long largestStep;
    private boolean resumable;
    private boolean awaitingContinuation;
    private boolean hasEvents;
    private final String versionField;
    private String weightVersion;

    /**
     * Creates the position of a new stream.
     *
     * @param afterEventId the id after which the client asked the stream to continue, null if it asked for all of it
     * @param versionField the field in which an event states that the weight version changed
     */
    StreamPosition(String afterEventId, String versionField) {
        this.versionField = versionField;
        if (afterEventId == null || afterEventId.isBlank()) return;
        lastEventId = afterEventId.trim();
        lastEventNumber = parseNumber(lastEventId);
        awaitingContinuation = true;
    }

    /**
     * The id of the last event relayed, or the one after which the client asked to continue; null if neither exists.
     */
    String lastEventId() {
        return lastEventId;
    }

    /** Whether another run may continue: an event was relayed, and the last one that carried data had an id. */
    boolean isResumable() {
        return resumable;
    }

    /** Whether any event with data or an id was relayed. */
    boolean hasEvents() {
        return hasEvents;
    }

    /** The weight version that produced the last event relayed; null if none was stated. */
    String weightVersion() {
        return weightVersion;
    }

    /**
     * Starts a run.
     *
     * @param runVersion the weight version in the head of the run's response, null if none was stated
     * @return false if the run has another weight version and so must not continue the stream
     */
    boolean startRun(String runVersion) {
        if (awaitingContinuation && weightVersion != null && runVersion != null && !runVersion.equals(weightVersion))
            return false;
        if (runVersion != null) weightVersion = runVersion;
        return true;
    }

    /** Prepares for the events of another run, which must continue after the last id. */
    void resume() {
        awaitingContinuation = true;
    }

    /** Moves past complete events; returns false as soon as one does not follow the one before it. */
    boolean advance(ByteBuffer events) {
        var bytes = events.array();
        var end = events.arrayOffset() + events.limit();
        var event = new StreamEvent(bytes, versionField);
        for (var lineStart = events.arrayOffset() + events.position(); lineStart < end; ) {
            var lineEnd = findLineEnd(bytes, lineStart, end);
            if (!event.addLine(lineStart, lineEnd)) {
                if (!accept(event)) return false;
                event = new StreamEvent(bytes, versionField);
            }
            lineStart = lineEnd + 1;
        }
        return true;
    }

    private static int findLineEnd(byte[] bytes, int from, int end) {
        var index = from;
        while (index < end && bytes[index] != '\n') index++;
        return index;
    }

    private boolean accept(StreamEvent event) {
        if (event.weightVersion() != null) weightVersion = event.weightVersion();
        if (event.id() == null) {
            if (event.hasData()) resumable = false;
            hasEvents |= event.hasData();
            return true;
        }
        var number = parseNumber(event.id());
        if (awaitingContinuation ? !continuesStream(event.id(), number) : !isAscending(event.id(), number))
            return false;
        if (!awaitingContinuation && number > lastEventNumber && lastEventNumber != NOT_A_NUMBER)
            largestStep = Math.max(largestStep, number - lastEventNumber);
        awaitingContinuation = false;
        lastEventId = event.id();
        lastEventNumber = number;
        resumable = true;
        hasEvents = true;
        return true;
    }

    /** Whether the id is greater than the last one or, unless both are whole numbers, differs from it. */
    private boolean isAscending(String id, long number) {
        if (lastEventId == null) return true;
        if (number == NOT_A_NUMBER || lastEventNumber == NOT_A_NUMBER) return !id.equals(lastEventId);
        return number > lastEventNumber;
    }

    /** Whether the first event of a continuing run ascends and, as far as step sizes are known, skips no event. */
    private boolean continuesStream(String id, long number) {
        if (!isAscending(id, number)) return false;
        var stepKnown = lastEventNumber != NOT_A_NUMBER && number != NOT_A_NUMBER && largestStep > 0;
        return !stepKnown || number - lastEventNumber <= largestStep;
    }

    private static long parseNumber(String id) {
        var wholeNumber =
                !id.isEmpty() && id.length() <= MAX_NUMBER_DIGITS && id.chars().allMatch(c -> c >= '0' && c <= '9');
        return wholeNumber ? Long.parseLong(id) : NOT_A_NUMBER;
    }
}

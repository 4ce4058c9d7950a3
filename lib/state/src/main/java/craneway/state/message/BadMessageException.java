package craneway.state.message;

/** A message or command that cannot be decoded. */
public final class BadMessageException extends RuntimeException {
    /** Creates the exception with a description of what is wrong. */
    public BadMessageException(String text) {
        super(text);
    }
}

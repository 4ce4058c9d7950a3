package craneway.transport;

import java.util.ArrayList;
import java.util.List;

/** The body of an HTTP request that carries several messages. Protostuff writes it by the order of its fields. */
public final class MessageBatch {
    /** The messages, each encoded with its tag. */
    public List<byte[]> messages = new ArrayList<>();
}

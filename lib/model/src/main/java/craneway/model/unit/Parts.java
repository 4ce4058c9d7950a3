package craneway.model.unit;

/** The fixed number of parts that the control state is sharded into, and which part a topic belongs to. */
public final class Parts {
    public static final int COUNT = 4;
    public static final int MANIFEST_PART = 0;
    public static final String MANIFEST_TOPIC = "@manifest";

    private Parts() {}

    /** The part of a service or of the manifest topic. */
    public static int partOf(String topic) {
        return topic.equals(MANIFEST_TOPIC) ? MANIFEST_PART : 1 + Hash.bucket(Hash.of(topic), COUNT - 1);
    }
}

package craneway.model.unit;

/** The fixed number of parts (shards) of the control state, and the mapping from topics to parts. */
public final class Parts {
    /** The number of parts. */
    public static final int PART_COUNT = 4;
    /** The index of the part that holds the manifest; the services are distributed over the other parts. */
    public static final int MANIFEST_PART = 0;
    /** The topic of the manifest; every other topic is the name of a service. */
    public static final String MANIFEST_TOPIC = "@manifest";

    private Parts() {}

    /** Returns the part of a topic: the name of a service, or {@link #MANIFEST_TOPIC}. */
    public static int partOf(String topic) {
        return topic.equals(MANIFEST_TOPIC) ? MANIFEST_PART : 1 + Hash.bucket(Hash.of(topic), PART_COUNT - 1);
    }
}

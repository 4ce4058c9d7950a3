package craneway.state.message;

/** The read-only requests that a part's leader answers. The fields are part of the wire format. */
public final class Queries {
    private Queries() {}

    /** Asks for the status of a part. */
    public static final class Status {}

    /** Asks for the manifest in force. */
    public static final class ManifestGet {}

    /** Asks which members already have a version of the manifest's topic. */
    public static final class RolloutGet {
        public long version;
        /** The zone to report on, or empty for all zones. */
        public String zone = "";
    }

    /** Asks for a plan by its id. */
    public static final class PlanGet {
        public long plan;
    }
}

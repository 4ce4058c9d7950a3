package craneway.state.message;

/** What a mark of the manifest is on: a zone, a cell of a service, or a tenant. Its text is how records and messages hold it. */
public record MarkKey(Target target, String name) {
    /** What can be marked. */
    public enum Target {
        ZONE("zone:"),
        CELL("cell:"),
        TENANT("tenant:");

        private final String keyPrefix;

        Target(String prefix) {
            this.keyPrefix = prefix;
        }
    }

    /** The mark on a zone. */
    public static MarkKey zone(String zone) {
        return new MarkKey(Target.ZONE, zone);
    }

    /** The mark on a cell of a service. */
    public static MarkKey cell(String service, String cell) {
        return new MarkKey(Target.CELL, service + "/" + cell);
    }

    /** The mark on a tenant. */
    public static MarkKey tenant(String tenant) {
        return new MarkKey(Target.TENANT, tenant);
    }

    /** Reads a key as records hold it; null where it is none of these. */
    public static MarkKey read(String text) {
        for (var t : Target.values())
            if (text.startsWith(t.keyPrefix)) return new MarkKey(t, text.substring(t.keyPrefix.length()));
        return null;
    }

    /** The key as records and messages hold it. */
    public String text() {
        return target.keyPrefix + name;
    }
}

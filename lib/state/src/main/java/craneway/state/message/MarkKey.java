package craneway.state.message;

/** What a mark of the manifest is on: a zone, a cell of a service, or a tenant. Its text is how records and messages hold it. */
public record MarkKey(Target target, String name) {
    /** What can be marked. */
    public enum Target {
        ZONE("zone:"),
        CELL("cell:"),
        TENANT("tenant:");

        private final String prefix;

        Target(String prefix) {
            this.prefix = prefix;
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
    public static MarkKey parse(String text) {
        for (var t : Target.values())
            if (text.startsWith(t.prefix)) return new MarkKey(t, text.substring(t.prefix.length()));
        return null;
    }

    /** The key as records and messages hold it. */
    public String text() {
        return target.prefix + name;
    }
}

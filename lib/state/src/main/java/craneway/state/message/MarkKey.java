package craneway.state.message;

/** Identifies what a mark of the manifest applies to: a zone, a cell of a service, or a tenant. */
public record MarkKey(Target target, String name) {
    /** The kinds of things that can be marked. */
    public enum Target {
        ZONE("zone:"),
        CELL("cell:"),
        TENANT("tenant:");

        private final String keyPrefix;

        Target(String prefix) {
            this.keyPrefix = prefix;
        }
    }

    /** Returns the key of a zone. */
    public static MarkKey zone(String zone) {
        return new MarkKey(Target.ZONE, zone);
    }

    /** Returns the key of a cell of a service. */
    public static MarkKey cell(String service, String cell) {
        return new MarkKey(Target.CELL, service + "/" + cell);
    }

    /** Returns the key of a tenant. */
    public static MarkKey tenant(String tenant) {
        return new MarkKey(Target.TENANT, tenant);
    }

    /** Parses the text form of a key; returns null if it is not of a known kind. */
    public static MarkKey parse(String text) {
        for (var target : Target.values())
            if (text.startsWith(target.keyPrefix))
                return new MarkKey(target, text.substring(target.keyPrefix.length()));
        return null;
    }

    /** Returns the text form used in rows and messages. */
    public String text() {
        return target.keyPrefix + name;
    }
}

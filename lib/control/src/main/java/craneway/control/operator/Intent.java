package craneway.control.operator;

import java.util.List;

/**
 * What an operator wants changed, as read from JSON. Which of the other components are needed depends on the intent;
 * the rest are null.
 *
 * @param intent one of the constants of this class
 * @param zone for intents about a zone
 * @param service for intents about a cell, with {@code cell}
 * @param cell for intents about a cell
 * @param tenant for intents about a tenant
 * @param regions the regions to keep a tenant in
 */
public record Intent(String intent, String zone, String service, String cell, String tenant, List<String> regions) {
    /** Moves all units out of the cells of a zone. */
    public static final String EMPTY_ZONE = "empty-zone";

    /** Lets the cells of an emptied zone take units again. */
    public static final String TAKE_BACK_ZONE = "take-back-zone";

    /** Moves all units out of a cell. */
    public static final String EMPTY_CELL = "empty-cell";

    /** Lets an emptied cell take units again. */
    public static final String TAKE_BACK_CELL = "take-back-cell";

    /** Keeps a tenant in some of its home regions. */
    public static final String KEEP_TENANT = "keep-tenant";

    /** Lets a tenant use all its home regions again. */
    public static final String RELEASE_TENANT = "release-tenant";

    /** The intent in one line, as plans show it. */
    String describe() {
        return switch (intent) {
            case EMPTY_ZONE, TAKE_BACK_ZONE -> intent + " " + zone;
            case EMPTY_CELL, TAKE_BACK_CELL -> intent + " " + service + "/" + cell;
            case KEEP_TENANT -> intent + " " + tenant + " in " + String.join(",", regions);
            default -> intent + " " + tenant;
        };
    }
}

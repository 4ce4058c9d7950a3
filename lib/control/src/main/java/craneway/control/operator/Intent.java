package craneway.control.operator;

import java.util.List;

public record Intent(String intent, String zone, String service, String cell, String tenant, List<String> regions) {
    public static final String EMPTY_ZONE = "empty-zone",
            TAKE_BACK_ZONE = "take-back-zone",
            EMPTY_CELL = "empty-cell",
            TAKE_BACK_CELL = "take-back-cell",
            KEEP_TENANT = "keep-tenant",
            RELEASE_TENANT = "release-tenant";

    String describe() {
        return switch (intent) {
            case EMPTY_ZONE, TAKE_BACK_ZONE -> intent + " " + zone;
            case EMPTY_CELL, TAKE_BACK_CELL -> intent + " " + service + "/" + cell;
            case KEEP_TENANT -> intent + " " + tenant + " in " + String.join(",", regions);
            default -> intent + " " + tenant;
        };
    }
}

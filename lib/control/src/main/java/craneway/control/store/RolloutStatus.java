package craneway.control.store;

import java.util.ArrayList;
import java.util.List;

/** How far a version of the manifest topic has reached the members of the core. */
public final class RolloutStatus {
    /** Members that have not confirmed the version. */
    public List<String> unconfirmedMembers = new ArrayList<>();
    /**
     * Those of them that are routers and may still act on an older version, since their lease or grace may still run.
     */
    public List<String> routersStillActing = new ArrayList<>();
}

package craneway.control.store;

import java.util.ArrayList;
import java.util.List;

public final class RolloutStatus {
    public List<String> unconfirmedMembers = new ArrayList<>();
    public List<String> routersStillActing = new ArrayList<>();
}

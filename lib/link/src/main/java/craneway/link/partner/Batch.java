package craneway.link.partner;

import java.util.ArrayList;
import java.util.List;

public final class Batch {
    public List<byte[]> messages = new ArrayList<>();
}

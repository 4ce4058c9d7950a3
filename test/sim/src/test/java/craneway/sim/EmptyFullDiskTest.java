package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A store whose disk was replaced by an empty one that is full ends at its start until there is space, then joins again. */
class EmptyFullDiskTest {
    private static final long SEED = 7045;

    @Test
    void aStoreThatCannotWriteItsIdentityStartsOnceThereIsSpace() {
        var faults = RandomFaultRun.drawFaults(FleetShape.MATICAR, SEED);
        assertEquals(List.of(), RandomFaultRun.run(FleetShape.MATICAR, SEED, faults).violations());
    }

    @Test
    void itBreaksNoPromiseMeanwhile() {
        var faults = List.of(
                new RandomFaultRun.Fault(2, "store-1", "disk-loss"),
                new RandomFaultRun.Fault(2.1, "store-1", "disk-full"),
                new RandomFaultRun.Fault(3, "store-1", "start"),
                new RandomFaultRun.Fault(12, "store-1", "disk-free"));
        assertEquals(List.of(), RandomFaultRun.run(FleetShape.MATICAR, 1, faults).violations());
    }
}

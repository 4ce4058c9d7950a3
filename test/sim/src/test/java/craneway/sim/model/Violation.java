package craneway.sim.model;

/** Thrown when an invariant does not hold after a step. */
final class Violation extends RuntimeException {
    private final Invariant invariant;

    Violation(Invariant invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = invariant;
    }

    Invariant invariant() {
        return invariant;
    }
}

package craneway.model.event;

public interface Log {
    void note(Event e, String detail);
}

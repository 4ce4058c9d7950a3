package craneway.state.part;

public final class Image {
    public long index;
    public long term;
    public Members members = new Members();
    public byte[] body;
}

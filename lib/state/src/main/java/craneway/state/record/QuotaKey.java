package craneway.state.record;

/** Identifies a quota: the requests of one tenant to one service. */
record QuotaKey(String service, String tenant) {
    /** Returns the key in the form that the rows hold. */
    String text() {
        return service + "/" + tenant;
    }
}

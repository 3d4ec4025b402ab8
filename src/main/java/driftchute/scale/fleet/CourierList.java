package driftchute.scale.fleet;

import driftchute.Courier;
import java.io.IOException;
import java.util.List;

/** The list of endpoints of one courier, kept up to date from the bytes of its watch. */
interface CourierList {
    /** What a line changed. */
    record Change(Courier.Update update, List<Courier.Endpoint> entries) {}

    /** Takes one line of the watch. */
    Change feed(byte[] line) throws IOException;

    /** The version in force; 0 before any list. */
    long version();

    /** Endpoints in the list. */
    int size();

    /** The list that the next process of this courier begins with. */
    CourierList afterRestart();
}

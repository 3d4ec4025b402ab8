package railspar.scale.real;

/**
 * The limits that a courier's configuration tells it.
 *
 * @param memoryMb memory of its processes
 * @param sockets descriptors it may hold
 * @param diskMb size of the folder that lasts
 * @param maxOpen messages it may hold
 */
public record CourierLimits(int memoryMb, int sockets, int diskMb, int maxOpen) {
    /** The limits of scored days, with as many messages as they allow. */
    public static final CourierLimits DEFAULT = new CourierLimits(192, 1024, 3, 5000);

    /** Refuses limits under which no courier could start. */
    public CourierLimits {
        if (memoryMb < 1 || sockets < 1 || diskMb < 1 || maxOpen < 1) {
            throw new IllegalArgumentException("a courier's limits are at least 1: " + memoryMb + " MB of memory, "
                    + sockets + " sockets, " + diskMb + " MB of disk, " + maxOpen + " messages");
        }
    }
}

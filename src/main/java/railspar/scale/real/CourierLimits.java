package railspar.scale.real;

/**
 * The limits in a courier's configuration.
 *
 * @param memoryMb memory of its processes
 * @param sockets file descriptors it may have open
 * @param diskMb size of its state folder
 * @param maxOpen open messages it may have
 */
public record CourierLimits(int memoryMb, int sockets, int diskMb, int maxOpen) {
    /** The limits of scored runs, with the highest number of open messages that they allow. */
    public static final CourierLimits DEFAULT = new CourierLimits(192, 1024, 3, 5000);

    /** Rejects limits with which no courier could start. */
    public CourierLimits {
        if (memoryMb < 1 || sockets < 1 || diskMb < 1 || maxOpen < 1) {
            throw new IllegalArgumentException("each limit of a courier must be at least 1: " + memoryMb
                    + " MB of memory, " + sockets + " sockets, " + diskMb + " MB of disk, " + maxOpen + " messages");
        }
    }
}

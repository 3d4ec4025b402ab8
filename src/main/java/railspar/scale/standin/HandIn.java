package railspar.scale.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * One message as a client hands it in.
 *
 * @param id its id, a new one on every occasion
 * @param className its class
 * @param key its key in classes that keep their order, or null
 * @param timeoutMs for how long it may be delivered
 * @param destination the number of its destination
 * @param body its bytes
 */
public record HandIn(String id, String className, String key, long timeoutMs, long destination, byte[] body) {
    /** The request on the wire. */
    byte[] request() {
        final String path = key == null ? className : className + "/" + key;
        final String head = "POST /" + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + className + "\r\nX-Timeout-Ms: " + timeoutMs
                + "\r\nX-Consignee: dest=" + destination + "\r\nContent-Length: " + body.length + "\r\n\r\n";
        final ByteArrayOutputStream request = new ByteArrayOutputStream(head.length() + body.length);
        request.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        request.writeBytes(body);
        return request.toByteArray();
    }
}

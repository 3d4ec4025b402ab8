package railspar.scale.standin;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A message as a client submits it.
 *
 * @param id the message id, a new one for each message
 * @param className the message class
 * @param key the message key in classes with ordered delivery, or null
 * @param timeoutMs how long the courier may try to deliver it
 * @param destination the destination number
 * @param body the message body
 */
public record ClientMessage(String id, String className, String key, long timeoutMs, long destination, byte[] body) {
    /** The bytes of the HTTP request. */
    byte[] toRequest() {
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

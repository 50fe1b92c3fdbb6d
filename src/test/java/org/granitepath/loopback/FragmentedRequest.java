package org.granitepath.loopback;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import org.granitepath.loopback.ControllerProcess.Reply;
import org.granitepath.protocol.Json;

/** A POST request whose head and body arrive in separate packets, the body in fragments of random sizes. */
final class FragmentedRequest {
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int MAX_FRAGMENTS = 4;
    private static final int MAX_GAP_MILLIS = 20;

    private FragmentedRequest() {}

    /** Sends the request and returns the answer; its status is 0 if none came. */
    static Reply post(String address, String path, String body, Random random) throws InterruptedException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            OutputStream out = socket.getOutputStream();
            out.write(head(path, bytes.length).getBytes(StandardCharsets.US_ASCII));
            writeFragments(out, bytes, random);
            return parse(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            return new Reply(0, Map.of());
        }
    }

    private static String head(String path, int length) {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + length + "\r\n\r\n";
    }

    private static void writeFragments(OutputStream out, byte[] bytes, Random random)
            throws IOException, InterruptedException {
        int maxFragmentBytes = Math.max(1, bytes.length / (1 + random.nextInt(MAX_FRAGMENTS)));
        for (int offset = 0; offset < bytes.length; offset += maxFragmentBytes) {
            Thread.sleep(1 + random.nextInt(MAX_GAP_MILLIS));
            out.write(bytes, offset, Math.min(maxFragmentBytes, bytes.length - offset));
        }
    }

    /** Returns the status and the body of a response. A body that is no JSON object is returned as an empty one. */
    private static Reply parse(String response) {
        if (!response.startsWith("HTTP/1.1 ")) {
            return new Reply(0, Map.of());
        }
        int status = Integer.parseInt(response.substring(9, 12));
        Map<String, Object> body = Json.decodeObject(response.substring(response.indexOf("\r\n\r\n") + 4));
        return new Reply(status, body == null ? Map.of() : body);
    }
}

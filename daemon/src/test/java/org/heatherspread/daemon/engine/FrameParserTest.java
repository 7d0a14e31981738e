package org.heatherspread.daemon.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.heatherspread.core.request.FrameKind;
import org.junit.jupiter.api.Test;

/** Tests that frames are parsed independently of the chunking of the stream. */
class FrameParserTest {
  private static final String STREAM =
      ": heartbeat\n\n"
          + "id: r:1:0\ndata: {\"choices\":[{\"delta\":{\"role\":\"a\",\"content\":\"\"}}]}\n\n"
          + "id: r:1:1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\\\"\\u00e9\"}}]}\n\n"
          + "id: other:x:1:2\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
          + "id: r:2:2\ndata: {\"choices\":[{\"delta\":{\"content\":\"c\"}}]}\n\n"
          + "id: r:1:2\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
          + "id: r:1:2\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\n"
          + "id: r:1:2\ndata: [DONE]\n\n";

  private static final List<String> FRAMES =
      List.of(
          "heartbeat",
          "true 1 0 OPENING ",
          "true 1 1 TOKEN a\\\"\\u00e9",
          "false 1 2 TOKEN b",
          "true 2 2 TOKEN c",
          "true 1 2 FINISH ",
          "true 1 2 USAGE ",
          "true 1 2 END ");

  /** Records the handled frames. */
  private static final class Recorder implements FrameParser.Handler {
    private final List<String> frames = new ArrayList<>();

    @Override
    public void onFrame(
        boolean sameRequest,
        int attempt,
        long offset,
        FrameKind kind,
        byte[] bytes,
        int start,
        int end,
        int contentStart) {
      int contentEnd = contentStart < 0 ? 0 : FrameParser.findStringEnd(bytes, contentStart, end);
      String content =
          contentStart < 0
              ? ""
              : new String(bytes, contentStart, contentEnd - contentStart, StandardCharsets.UTF_8);
      frames.add(sameRequest + " " + attempt + " " + offset + " " + kind + " " + content);
    }

    @Override
    public void onHeartbeat() {
      frames.add("heartbeat");
    }
  }

  @Property(seed = "11", tries = 500)
  void parsesSameFramesForAnyChunking(
      @ForAll @Size(max = 20) List<@IntRange(min = 0, max = 470) Integer> boundaries) {
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    List<Integer> sorted = new ArrayList<>(boundaries);
    sorted.add(bytes.length);
    sorted.sort(null);
    FrameParser parser = FrameParser.create("r");
    Recorder recorder = new Recorder();
    int from = 0;
    for (int boundary : sorted) {
      int to = Math.min(boundary, bytes.length);
      assertThat(parser.parse(Arrays.copyOfRange(bytes, from, to), recorder)).isTrue();
      from = to;
    }
    assertThat(recorder.frames).isEqualTo(FRAMES);
  }

  @Test
  void malformedIdYieldsInvalidNumbers() {
    Recorder recorder = new Recorder();
    FrameParser.create("r")
        .parse("id: r:x:y\ndata: [DONE]\n\n".getBytes(StandardCharsets.UTF_8), recorder);
    assertThat(recorder.frames).containsExactly("true -1 -1 END ");
  }

  @Test
  void rejectsEventAboveMaximumSize() {
    byte[] oversizedEvent = new byte[(1 << 20) + 1];
    Arrays.fill(oversizedEvent, (byte) 'x');
    assertThat(FrameParser.create("r").parse(oversizedEvent, new Recorder())).isFalse();
  }
}

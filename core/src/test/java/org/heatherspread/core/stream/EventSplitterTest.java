package org.heatherspread.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
  private static final String STREAM =
      "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\n"
          + "id:3\r\ndata: c\r\n\r\ndata: no id\n\n";

  private final List<String> events = new ArrayList<>();
  private final List<Long> ids = new ArrayList<>();

  private boolean add(EventSplitter splitter, byte[] bytes) {
    return splitter.add(
        bytes,
        (event, id) -> {
          events.add(new String(event, StandardCharsets.UTF_8));
          ids.add(id);
        });
  }

  @Property(tries = 200)
  void findsSameEventsForAnyChunking(
      @ForAll @IntRange(min = 1, max = 70) int first,
      @ForAll @IntRange(min = 1, max = 70) int second) {
    events.clear();
    ids.clear();
    byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
    int a = Math.min(first, bytes.length);
    int b = Math.min(a + second, bytes.length);
    EventSplitter splitter = EventSplitter.create(1_000);
    add(splitter, Arrays.copyOfRange(bytes, 0, a));
    add(splitter, Arrays.copyOfRange(bytes, a, b));
    add(splitter, Arrays.copyOfRange(bytes, b, bytes.length));
    assertThat(String.join("", events)).isEqualTo(STREAM);
    assertThat(ids).containsExactly(1L, 2L, 3L, -1L);
    assertThat(splitter.hasPartialEvent()).isFalse();
  }

  @Test
  void keepsIncompleteEvent() {
    EventSplitter splitter = EventSplitter.create(1_000);
    add(splitter, "id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
    assertThat(ids).containsExactly(1L);
    assertThat(splitter.hasPartialEvent()).isTrue();
  }

  @Test
  void rejectsEventAboveSizeLimit() {
    assertThat(add(EventSplitter.create(10), new byte[11])).isFalse();
  }
}

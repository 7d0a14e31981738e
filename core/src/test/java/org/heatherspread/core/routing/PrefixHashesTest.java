package org.heatherspread.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes.Message;
import org.junit.jupiter.api.Test;

class PrefixHashesTest {
  @Test
  void rendersRoleAndContentOnSeparateLines() {
    byte[] prompt =
        PrefixHashes.render(List.of(new Message("system", "a"), new Message("user", "ü")));
    assertThat(prompt).isEqualTo("system\na\nuser\nü\n".getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void partialBlockHasNoHash() {
    assertThat(PrefixHashes.of(new byte[255])).isEmpty();
    assertThat(PrefixHashes.of(new byte[256])).hasSize(1);
    assertThat(PrefixHashes.of(new byte[767])).hasSize(2);
  }

  @Test
  void hashCoversAllPrecedingBlocks() {
    byte[] left = new byte[768];
    byte[] right = new byte[768];
    right[300] = 1;
    long[] a = PrefixHashes.of(left);
    long[] b = PrefixHashes.of(right);
    assertThat(a[0]).isEqualTo(b[0]);
    assertThat(a[1]).isNotEqualTo(b[1]);
    assertThat(a[2]).isNotEqualTo(b[2]);
    assertThat(Arrays.stream(a).distinct().count()).isEqualTo(3);
  }

  @Test
  void hashValuesAreStableAcrossBuilds() {
    assertThat(PrefixHashes.of(new byte[256])).containsExactly(-6927291480340103674L);
  }
}

package org.heatherspread.core.routing;

/**
 * Endpoints that hold a prefix of one prompt, longest prefix first. A reusable buffer of fixed
 * capacity.
 *
 * <p>Not thread-safe; each call uses its own instance.
 */
public final class PrefixMatch {
  private final int[] slots;
  private final int[] blocks;
  private int[] entryBuffer = new int[0];
  private int size;
  private int sharedBlocks;

  private PrefixMatch(int limit) {
    slots = new int[limit];
    blocks = new int[limit];
  }

  /** Creates an empty match of at most {@code limit} endpoints. */
  public static PrefixMatch withCapacity(int limit) {
    return new PrefixMatch(limit);
  }

  /** Returns the number of endpoints found. */
  public int size() {
    return size;
  }

  /** Returns the slot of the endpoint at an index. */
  public int slot(int index) {
    return slots[index];
  }

  /** Returns the number of leading blocks of the prompt that the endpoint at an index holds. */
  public int blocks(int index) {
    return blocks[index];
  }

  /**
   * Returns the number of leading blocks that the endpoint in a slot holds; 0 if it was not found.
   */
  public int blocksForSlot(int slot) {
    for (int i = 0; i < size; i++) {
      if (slots[i] == slot) {
        return blocks[i];
      }
    }
    return 0;
  }

  /** Returns the number of leading blocks that other prompts are known to share. */
  public int sharedBlocks() {
    return sharedBlocks;
  }

  /** Returns a buffer for the index entries of at least {@code length} blocks. */
  int[] entryBuffer(int length) {
    if (entryBuffer.length < length) {
      entryBuffer = new int[length];
    }
    return entryBuffer;
  }

  boolean isFull() {
    return size == slots.length;
  }

  void clear() {
    size = 0;
    sharedBlocks = 0;
  }

  void setSharedBlocks(int count) {
    sharedBlocks = count;
  }

  void add(int slot, int count) {
    if (isFull() || blocksForSlot(slot) > 0) {
      return;
    }
    slots[size] = slot;
    blocks[size] = count;
    size++;
  }
}

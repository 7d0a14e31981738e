package org.heatherspread.core.routing;

/**
 * Endpoints that hold a prefix of one prompt, longest prefix first. Reusable buffer of fixed size.
 *
 * <p>Not safe for use by several threads; each call has its own.
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

  /** Returns how many endpoints were found. */
  public int size() {
    return size;
  }

  /** Returns the slot of a found endpoint. */
  public int slot(int index) {
    return slots[index];
  }

  /** Returns how many blocks from the start of the prompt a found endpoint holds. */
  public int blocks(int index) {
    return blocks[index];
  }

  /** Returns how many blocks the endpoint of a slot holds; 0 if it was not found. */
  public int blocksForSlot(int slot) {
    for (int i = 0; i < size; i++) {
      if (slots[i] == slot) {
        return blocks[i];
      }
    }
    return 0;
  }

  /** Returns how many blocks from the start of the prompt other prompts are known to share. */
  public int sharedBlocks() {
    return sharedBlocks;
  }

  /** Returns room for the entries of a prompt's blocks. */
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

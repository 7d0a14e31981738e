package org.heatherspread.bench.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Implements a prefix index as the view tree of Bhattacharjee et al., "Efficient Peer-To-Peer
 * Searches Using Result-Caching": a prompt is a conjunction of its blocks, and a cached prompt is a
 * view. Used only for comparison with {@link org.heatherspread.core.routing.PrefixIndex}. Not
 * thread-safe.
 */
final class ViewTree {
  private final Node root = new Node(new long[0]);
  private final boolean permuted;
  private long visitedNodes;
  private int nodeCount = 1;

  /** A node with the part of its label that follows the label of its parent. */
  private static final class Node {
    final long[] suffix;
    final List<Node> children = new ArrayList<>();
    long[] view;

    Node(long[] suffix) {
      this.suffix = suffix;
    }
  }

  /**
   * Creates an empty tree.
   *
   * @param permuted whether the label of a view is a random permutation of its blocks, which
   *     balances the tree as in the paper; otherwise labels keep the order of the prompt, and the
   *     tree is a radix tree
   */
  ViewTree(boolean permuted) {
    this.permuted = permuted;
  }

  /** Adds the view of a cached prompt. */
  void add(long[] blocks) {
    long[] label = createLabel(blocks);
    Node node = root;
    int offset = 0;
    while (offset < label.length) {
      Node next = null;
      for (Node child : node.children) {
        if (child.suffix.length <= label.length - offset
            && startsWith(label, offset, child.suffix)) {
          next = child;
          break;
        }
      }
      if (next == null) {
        next = new Node(Arrays.copyOfRange(label, offset, label.length));
        moveExtensions(node, next);
        node.children.add(next);
        nodeCount++;
      }
      offset += next.suffix.length;
      node = next;
    }
    node.view = blocks;
  }

  /** Moves the children whose label starts with that of the added node below that node. */
  private static void moveExtensions(Node parent, Node added) {
    List<Node> moved = new ArrayList<>();
    for (Node child : parent.children) {
      if (child.suffix.length > added.suffix.length && startsWith(child.suffix, 0, added.suffix)) {
        moved.add(child);
      }
    }
    for (Node child : moved) {
      parent.children.remove(child);
      Node shorter =
          new Node(Arrays.copyOfRange(child.suffix, added.suffix.length, child.suffix.length));
      shorter.children.addAll(child.children);
      shorter.view = child.view;
      added.children.add(shorter);
    }
  }

  /** Returns the number of leading blocks that the prompt shares with the best view found. */
  int lookup(long[] blocks) {
    List<Node> located = new ArrayList<>();
    search(root, createLabel(blocks), located);
    int best = 0;
    for (Node node : located) {
      if (node.view != null) {
        best = Math.max(best, commonPrefixLength(blocks, node.view));
      }
    }
    return best;
  }

  /**
   * Searches depth first, as in figure 1 of the paper: descends into a child whose label contains a
   * remaining block of the query, and repeats until no child covers a remaining block. Adds the
   * visited nodes to {@code located} and returns the blocks they cover.
   */
  private Set<Long> search(Node node, long[] query, List<Node> located) {
    Set<Long> covered = new HashSet<>();
    List<Long> remaining = new ArrayList<>();
    for (long block : query) {
      remaining.add(block);
    }
    while (!remaining.isEmpty()) {
      Node next = null;
      int matchIndex = -1;
      for (int i = 0; i < remaining.size() && next == null; i++) {
        next = findChildWith(node, remaining.get(i));
        matchIndex = i;
      }
      if (next == null) {
        return covered;
      }
      visitedNodes++;
      located.add(next);
      for (long block : next.suffix) {
        covered.add(block);
      }
      long[] rest = new long[remaining.size() - matchIndex - 1];
      for (int i = 0; i < rest.length; i++) {
        rest[i] = remaining.get(matchIndex + 1 + i);
      }
      covered.addAll(search(next, rest, located));
      remaining.removeIf(covered::contains);
    }
    return covered;
  }

  private static Node findChildWith(Node node, long block) {
    for (Node child : node.children) {
      for (long ownBlock : child.suffix) {
        if (ownBlock == block) {
          return child;
        }
      }
    }
    return null;
  }

  private long[] createLabel(long[] blocks) {
    long[] label = blocks.clone();
    if (permuted) {
      Random shuffle = new Random(Arrays.hashCode(blocks));
      for (int i = label.length - 1; i > 0; i--) {
        int otherIndex = shuffle.nextInt(i + 1);
        long swapped = label[i];
        label[i] = label[otherIndex];
        label[otherIndex] = swapped;
      }
    }
    return label;
  }

  private static boolean startsWith(long[] label, int from, long[] prefix) {
    return Arrays.mismatch(label, from, from + prefix.length, prefix, 0, prefix.length) < 0;
  }

  private static int commonPrefixLength(long[] first, long[] second) {
    int mismatch = Arrays.mismatch(first, second);
    return mismatch < 0 ? first.length : mismatch;
  }

  long visitedNodes() {
    return visitedNodes;
  }

  int nodeCount() {
    return nodeCount;
  }
}

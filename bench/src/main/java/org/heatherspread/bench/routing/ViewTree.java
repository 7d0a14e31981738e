package org.heatherspread.bench.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * The view tree of Bhattacharjee et al., "Efficient Peer-To-Peer Searches Using Result-Caching", as
 * a prefix index: a prompt is the conjunction of its blocks, a cached prompt is a view. Only for
 * the comparison with the chained index; not safe for use by several threads.
 */
final class ViewTree {
  private final Node root = new Node(new long[0]);
  private final boolean permuted;
  private long visited;
  private int nodes = 1;

  /** A node with the part of its label that its parent does not have. */
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
   * @param permuted whether views are placed by a random permutation of their blocks, as the paper
   *     balances the tree, or in the order of the prompt, which makes it a radix tree
   */
  ViewTree(boolean permuted) {
    this.permuted = permuted;
  }

  /** Adds the view of a cached prompt. */
  void add(long[] blocks) {
    long[] label = order(blocks);
    Node node = root;
    int at = 0;
    while (at < label.length) {
      Node next = null;
      for (Node child : node.children) {
        if (child.suffix.length <= label.length - at && startsWith(label, at, child.suffix)) {
          next = child;
          break;
        }
      }
      if (next == null) {
        next = new Node(Arrays.copyOfRange(label, at, label.length));
        adopt(node, next);
        node.children.add(next);
        nodes++;
      }
      at += next.suffix.length;
      node = next;
    }
    node.view = blocks;
  }

  /** Children that the new node is a prefix of become its children. */
  private static void adopt(Node parent, Node added) {
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

  /** Returns the longest prefix of the prompt, in blocks, that a located view holds. */
  int lookup(long[] blocks) {
    List<Node> located = new ArrayList<>();
    search(root, order(blocks), located);
    int best = 0;
    for (Node node : located) {
      if (node.view != null) {
        best = Math.max(best, common(blocks, node.view));
      }
    }
    return best;
  }

  /** The search of the paper's figure 1: exact match, else forward progress, depth first. */
  private Set<Long> search(Node node, long[] query, List<Node> located) {
    Set<Long> covered = new HashSet<>();
    List<Long> left = new ArrayList<>();
    for (long block : query) {
      left.add(block);
    }
    while (!left.isEmpty()) {
      Node next = null;
      int position = -1;
      for (int i = 0; i < left.size() && next == null; i++) {
        next = childWith(node, left.get(i));
        position = i;
      }
      if (next == null) {
        return covered;
      }
      visited++;
      located.add(next);
      for (long block : next.suffix) {
        covered.add(block);
      }
      long[] rest = new long[left.size() - position - 1];
      for (int i = 0; i < rest.length; i++) {
        rest[i] = left.get(position + 1 + i);
      }
      covered.addAll(search(next, rest, located));
      left.removeIf(covered::contains);
    }
    return covered;
  }

  private static Node childWith(Node node, long block) {
    for (Node child : node.children) {
      for (long own : child.suffix) {
        if (own == block) {
          return child;
        }
      }
    }
    return null;
  }

  private long[] order(long[] blocks) {
    long[] label = blocks.clone();
    if (permuted) {
      Random shuffle = new Random(Arrays.hashCode(blocks));
      for (int i = label.length - 1; i > 0; i--) {
        int other = shuffle.nextInt(i + 1);
        long kept = label[i];
        label[i] = label[other];
        label[other] = kept;
      }
    }
    return label;
  }

  private static boolean startsWith(long[] label, int from, long[] part) {
    return Arrays.mismatch(label, from, from + part.length, part, 0, part.length) < 0;
  }

  private static int common(long[] left, long[] right) {
    int mismatch = Arrays.mismatch(left, right);
    return mismatch < 0 ? left.length : mismatch;
  }

  long visited() {
    return visited;
  }

  int nodes() {
    return nodes;
  }
}

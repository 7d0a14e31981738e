package org.heatherspread.relay.caller;

import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * IPv4 connections of this process whose peers have acknowledged all data and the end of the output
 * that follows it, as the system's table of TCP sockets tells.
 *
 * <p>Neither Java nor the socket transport of Netty exposes acknowledgements. Where there is no
 * such table, or it does not list a connection, nothing is known of it. Immutable.
 */
final class AcknowledgedConnections {
  private static final Logger log = LoggerFactory.getLogger(AcknowledgedConnections.class);

  /** Connections over IPv4, from sockets of both families. */
  private static final List<Path> TABLES =
      List.of(Path.of("/proc/self/net/tcp"), Path.of("/proc/self/net/tcp6"));

  /** State FIN_WAIT2: the end of the output was acknowledged, the peer has not closed. */
  private static final String ACKNOWLEDGED_STATE = "05";

  private static final int LOCAL_FIELD = 1;
  private static final int REMOTE_FIELD = 2;
  private static final int STATE_FIELD = 3;

  /** Digits of an IPv4 address, with which a mapped IPv6 address ends as well. */
  private static final int ADDRESS_DIGITS = 8;

  private final Set<String> connections;

  private AcknowledgedConnections(Set<String> connections) {
    this.connections = connections;
  }

  /** Reads the present state of all connections. */
  static AcknowledgedConnections read() {
    List<String> lines = new ArrayList<>();
    for (Path table : TABLES) {
      try {
        lines.addAll(Files.readAllLines(table, StandardCharsets.US_ASCII));
      } catch (NoSuchFileException e) {
        log.atDebug().addKeyValue("table", table).log("no table of sockets");
      } catch (IOException e) {
        log.atWarn().addKeyValue("table", table).setCause(e).log("table of sockets not readable");
      }
    }
    return parse(lines);
  }

  /** Creates the connections that the lines of a table name. */
  static AcknowledgedConnections parse(List<String> lines) {
    Set<String> found = new HashSet<>();
    lines.forEach(line -> addAcknowledged(line, found));
    return new AcknowledgedConnections(found);
  }

  private static void addAcknowledged(String line, Set<String> found) {
    String[] fields = line.trim().split(" +", STATE_FIELD + 2);
    if (fields.length > STATE_FIELD && fields[STATE_FIELD].equals(ACKNOWLEDGED_STATE)) {
      found.add(shorten(fields[LOCAL_FIELD]) + '-' + shorten(fields[REMOTE_FIELD]));
    }
  }

  /** Returns the last part of an address and the port, in hexadecimal digits. */
  private static String shorten(String address) {
    int colon = address.indexOf(':');
    return address.substring(Math.max(0, colon - ADDRESS_DIGITS));
  }

  /** Returns whether the peer of a connection is known to have acknowledged everything. */
  boolean contains(SocketChannel channel) {
    return contains(channel.localAddress(), channel.remoteAddress());
  }

  boolean contains(InetSocketAddress local, InetSocketAddress remote) {
    return local != null
        && remote != null
        && local.getAddress() instanceof Inet4Address
        && remote.getAddress() instanceof Inet4Address
        && connections.contains(format(local) + '-' + format(remote));
  }

  /** Formats an address as the table does, which writes it as a number of the machine's order. */
  private static String format(InetSocketAddress address) {
    byte[] bytes = address.getAddress().getAddress();
    return "%02X%02X%02X%02X:%04X"
        .formatted(bytes[3], bytes[2], bytes[1], bytes[0], address.getPort());
  }
}

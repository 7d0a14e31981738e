package org.heatherspread.daemon.security;

import io.grpc.ChannelCredentials;
import io.grpc.InsecureChannelCredentials;
import io.grpc.InsecureServerCredentials;
import io.grpc.ServerCredentials;
import io.grpc.TlsChannelCredentials;
import io.grpc.TlsServerCredentials;
import java.io.File;
import java.io.IOException;
import java.util.Optional;

/**
 * The keys with which daemons authenticate each other by mutual TLS, read once at the start. Keys
 * are replaced by a planned restart; the authority file may hold the old and the new authority.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class PeerCredentials {
  private final ChannelCredentials channel;
  private final ServerCredentials server;
  private final Optional<String> name;

  private PeerCredentials(
      ChannelCredentials channel, ServerCredentials server, Optional<String> name) {
    this.channel = channel;
    this.server = server;
    this.name = name;
  }

  /** Returns credentials that authenticate nobody, for a network that others cannot reach. */
  public static PeerCredentials insecure() {
    return new PeerCredentials(
        InsecureChannelCredentials.create(), InsecureServerCredentials.create(), Optional.empty());
  }

  /** Loads the keys; fails with {@link IOException} where the files cannot be read. */
  public static PeerCredentials load(PeerTlsSettings settings) throws IOException {
    if (!settings.isEnabled()) {
      return insecure();
    }
    File certificate = new File(settings.certificate());
    File key = new File(settings.key());
    File authority = new File(settings.authority());
    return new PeerCredentials(
        TlsChannelCredentials.newBuilder()
            .keyManager(certificate, key)
            .trustManager(authority)
            .build(),
        TlsServerCredentials.newBuilder()
            .keyManager(certificate, key)
            .trustManager(authority)
            .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
            .build(),
        Optional.of(settings.name()));
  }

  /** Returns the credentials of calls to other daemons. */
  public ChannelCredentials channelCredentials() {
    return channel;
  }

  /** Returns the credentials of the server that other daemons call. */
  public ServerCredentials serverCredentials() {
    return server;
  }

  /** Returns the name that the other daemon's certificate must carry, with TLS. */
  public Optional<String> peerName() {
    return name;
  }
}

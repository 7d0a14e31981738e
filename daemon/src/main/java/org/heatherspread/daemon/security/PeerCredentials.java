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
 * Credentials for mutual TLS between daemons, loaded once at the start. Keys are replaced by a
 * planned restart; the authority file may hold the old and the new authority.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class PeerCredentials {
  private final ChannelCredentials channelCredentials;
  private final ServerCredentials serverCredentials;
  private final Optional<String> peerName;

  private PeerCredentials(
      ChannelCredentials channelCredentials,
      ServerCredentials serverCredentials,
      Optional<String> peerName) {
    this.channelCredentials = channelCredentials;
    this.serverCredentials = serverCredentials;
    this.peerName = peerName;
  }

  /**
   * Returns credentials without authentication, for a network that only trusted processes can
   * reach.
   */
  public static PeerCredentials insecure() {
    return new PeerCredentials(
        InsecureChannelCredentials.create(), InsecureServerCredentials.create(), Optional.empty());
  }

  /**
   * Loads the certificate, the private key and the trusted authorities.
   *
   * @throws IOException if a file cannot be read
   */
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

  /** Returns the credentials for calls to other daemons. */
  public ChannelCredentials channelCredentials() {
    return channelCredentials;
  }

  /** Returns the credentials of the server for other daemons. */
  public ServerCredentials serverCredentials() {
    return serverCredentials;
  }

  /** Returns the name that a peer certificate must carry; empty without TLS. */
  public Optional<String> peerName() {
    return peerName;
  }
}

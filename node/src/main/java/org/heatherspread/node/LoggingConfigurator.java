package org.heatherspread.node;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging: JSON lines on standard output, through a bounded queue that drops lines
 * instead of blocking. Configuration in code makes a cold start much faster than a configuration
 * file. Stateless.
 */
public final class LoggingConfigurator extends ContextAwareBase implements Configurator {
  private static final int LOGGER_NAME_LENGTH = 24;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    JsonLineEncoder encoder = new JsonLineEncoder(LOGGER_NAME_LENGTH);
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    BoundedAsyncAppender appender = new BoundedAsyncAppender();
    appender.setContext(context);
    appender.addAppender(console);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(appender);
    context.getLogger("io.netty").setLevel(Level.ERROR);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}

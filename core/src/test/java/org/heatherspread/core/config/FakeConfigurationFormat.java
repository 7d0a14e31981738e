package org.heatherspread.core.config;

import java.util.ArrayList;
import java.util.List;

/** Keeps the written objects in memory; the text is the index of the object. Not thread-safe. */
final class FakeConfigurationFormat implements ConfigurationFormat {
  private final List<Object> objects = new ArrayList<>();

  private String write(Object object) {
    objects.add(object);
    return Integer.toString(objects.size() - 1);
  }

  @Override
  public String writeEntry(LogEntry entry) {
    return write(entry);
  }

  @Override
  public LogEntry readEntry(String text) {
    return (LogEntry) objects.get(Integer.parseInt(text));
  }

  @Override
  public String writePlan(Plan plan) {
    return write(plan);
  }

  @Override
  public Plan readPlan(String text) {
    return (Plan) objects.get(Integer.parseInt(text));
  }

  @Override
  public String writeConfiguration(Configuration configuration) {
    return write(configuration);
  }

  @Override
  public Configuration readConfiguration(String text) {
    return (Configuration) objects.get(Integer.parseInt(text));
  }
}

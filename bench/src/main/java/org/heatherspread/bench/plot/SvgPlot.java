package org.heatherspread.bench.plot;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Draws small line and bar plots as SVG text. Collects series, then renders once. Not safe for use
 * by several threads.
 */
public final class SvgPlot {
  private static final int WIDTH = 640;
  private static final int HEIGHT = 360;
  private static final int LEFT = 70;
  private static final int RIGHT = 170;
  private static final int TOP = 40;
  private static final int BOTTOM = 50;
  private static final int TICKS = 5;
  private static final String[] COLOURS = {
    "#1b6ca8", "#c8553d", "#3a7d44", "#8e5aa8", "#b8860b", "#555555", "#1aa6a6"
  };

  /** One line of a plot; both arrays have one value for each point. */
  @SuppressWarnings("ArrayRecordComponent")
  private record Series(String name, double[] xs, double[] ys) {}

  private final String title;
  private final String axisX;
  private final String axisY;
  private final List<Series> series = new ArrayList<>();
  private final List<String> barNames = new ArrayList<>();
  private final List<Double> bars = new ArrayList<>();

  private SvgPlot(String title, String axisX, String axisY) {
    this.title = title;
    this.axisX = axisX;
    this.axisY = axisY;
  }

  /** Creates an empty plot with the texts of its axes. */
  public static SvgPlot create(String title, String axisX, String axisY) {
    return new SvgPlot(title, axisX, axisY);
  }

  /** Adds a line through points; both arrays have one value for each point. */
  public SvgPlot line(String name, double[] xs, double[] ys) {
    series.add(new Series(name, xs, ys));
    return this;
  }

  /** Adds a bar; a plot has either lines or bars. */
  public SvgPlot bar(String name, double value) {
    barNames.add(name);
    bars.add(value);
    return this;
  }

  /** Returns the SVG document. */
  public String render() {
    StringBuilder out = new StringBuilder();
    out.append(
        String.format(
            Locale.ROOT,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"12\">%n",
            WIDTH,
            HEIGHT));
    out.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
    text(out, WIDTH / 2.0, 20, "middle", title);
    text(out, (LEFT + WIDTH - RIGHT) / 2.0, HEIGHT - 12, "middle", axisX);
    text(out, LEFT, TOP - 8, "middle", axisY);
    if (bars.isEmpty()) {
      lines(out);
    } else {
      bars(out);
    }
    return out.append("</svg>\n").toString();
  }

  private void lines(StringBuilder out) {
    double maxX = 0;
    double minX = Double.MAX_VALUE;
    double maxY = 0;
    for (Series s : series) {
      for (int i = 0; i < s.xs.length; i++) {
        maxX = Math.max(maxX, s.xs[i]);
        minX = Math.min(minX, s.xs[i]);
        maxY = Math.max(maxY, s.ys[i]);
      }
    }
    axis(out, maxY);
    for (int t = 0; t <= TICKS; t++) {
      double value = minX + (maxX - minX) * t / TICKS;
      text(out, placeX(value, minX, maxX), HEIGHT - BOTTOM + 16, "middle", number(value));
    }
    for (int n = 0; n < series.size(); n++) {
      Series s = series.get(n);
      StringBuilder points = new StringBuilder();
      for (int i = 0; i < s.xs.length; i++) {
        points.append(number(placeX(s.xs[i], minX, maxX))).append(',');
        points.append(number(placeY(s.ys[i], maxY))).append(' ');
      }
      String colour = COLOURS[n % COLOURS.length];
      out.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"").append(colour);
      out.append("\" points=\"").append(points.toString().trim()).append("\"/>\n");
      label(out, n, colour, s.name);
    }
  }

  private void bars(StringBuilder out) {
    double max = 0;
    for (double value : bars) {
      max = Math.max(max, value);
    }
    axis(out, max);
    double slot = (WIDTH - LEFT - 20.0) / bars.size();
    for (int i = 0; i < bars.size(); i++) {
      double top = placeY(bars.get(i), max);
      double left = LEFT + slot * (i + 0.15);
      out.append(
          String.format(
              Locale.ROOT,
              "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>%n",
              left,
              top,
              slot * 0.7,
              HEIGHT - BOTTOM - top,
              COLOURS[i % COLOURS.length]));
      text(out, left + slot * 0.35, top - 4, "middle", number(bars.get(i)));
      text(out, left + slot * 0.35, HEIGHT - BOTTOM + 16, "middle", barNames.get(i));
    }
  }

  private static void axis(StringBuilder out, double max) {
    for (int t = 0; t <= TICKS; t++) {
      double value = max * t / TICKS;
      text(out, LEFT - 6, placeY(value, max) + 4, "end", number(value));
    }
    out.append(
        String.format(
            Locale.ROOT,
            "<path d=\"M%d %d V%d H%d\" stroke=\"black\" fill=\"none\"/>%n",
            LEFT,
            TOP,
            HEIGHT - BOTTOM,
            WIDTH - 20));
  }

  private static void label(StringBuilder out, int row, String colour, String name) {
    double y = TOP + 14 + row * 18.0;
    out.append(
        String.format(
            Locale.ROOT,
            "<rect x=\"%d\" y=\"%.0f\" width=\"12\" height=\"4\" fill=\"%s\"/>%n",
            WIDTH - RIGHT + 16,
            y - 5,
            colour));
    text(out, WIDTH - RIGHT + 34, y, "start", name);
  }

  private static double placeX(double value, double min, double max) {
    double share = max == min ? 0.5 : (value - min) / (max - min);
    return LEFT + share * (WIDTH - LEFT - RIGHT);
  }

  private static double placeY(double value, double max) {
    return HEIGHT - BOTTOM - (max == 0 ? 0 : value / max) * (HEIGHT - TOP - BOTTOM);
  }

  private static void text(StringBuilder out, double x, double y, String anchor, String text) {
    out.append(
        String.format(
            Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">", x, y, anchor));
    out.append(text.replace("&", "&amp;").replace("<", "&lt;")).append("</text>\n");
  }

  private static String number(double value) {
    if (Math.abs(value) >= 100) {
      return String.format(Locale.ROOT, "%.0f", value);
    }
    return String.format(Locale.ROOT, Math.abs(value) >= 10 ? "%.1f" : "%.2f", value);
  }
}

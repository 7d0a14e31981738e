package org.heatherspread.bench.capacity;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.Locale;

/**
 * One cost of one role, measured at several sizes, and what it comes to at the design size.
 * Immutable; the arrays must not be changed.
 *
 * @param name what is measured, with its unit
 * @param sizeName what the sizes count
 * @param sizes the sizes
 * @param values the measured values
 * @param designSize the size to design for
 * @param budget the most that the design allows; not a number where none is stated
 */
@SuppressWarnings("ArrayRecordComponent")
record CostMeasurement(
    String name,
    String sizeUnit,
    double[] sizes,
    double[] values,
    double designSize,
    double budget) {

  LinearFit linearFit() {
    return LinearFit.fit(sizes, values);
  }

  double valueAtDesignSize() {
    return linearFit().valueAt(designSize);
  }

  /** Tells whether the budget holds; a cost without a budget always does. */
  boolean withinBudget() {
    return Double.isNaN(budget) || valueAtDesignSize() <= budget;
  }

  void print() {
    LinearFit fit = linearFit();
    System.out.printf(
        Locale.ROOT,
        "%-46s %-10s %-28s %12.5g %9.5g %6.3f %9.0f %12.5g %10s %s%n",
        name,
        sizeUnit,
        formatPoints(),
        fit.intercept(),
        fit.slope(),
        fit.coefficientOfDetermination(),
        designSize,
        valueAtDesignSize(),
        Double.isNaN(budget) ? "-" : String.format(Locale.ROOT, "%.5g", budget),
        Double.isNaN(budget) ? "" : withinBudget() ? "held" : "MISSED");
  }

  void writeTo(ObjectNode row) {
    LinearFit fit = linearFit();
    row.put("name", name).put("size", sizeUnit).put("design_size", designSize);
    Arrays.stream(sizes).forEach(row.putArray("sizes")::add);
    Arrays.stream(values).forEach(row.putArray("values")::add);
    row.put("base", fit.intercept())
        .put("per_unit", fit.slope())
        .put("fit", fit.coefficientOfDetermination());
    row.put("at_design_size", valueAtDesignSize()).put("held", withinBudget());
    if (!Double.isNaN(budget)) {
      row.put("budget", budget);
    }
  }

  private String formatPoints() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < sizes.length; i++) {
      text.append(i == 0 ? "" : " ");
      text.append(String.format(Locale.ROOT, "%.0f:%.4g", sizes[i], values[i]));
    }
    return text.toString();
  }
}

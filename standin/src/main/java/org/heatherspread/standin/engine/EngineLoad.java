package org.heatherspread.standin.engine;

/**
 * A load report of the engine. Immutable.
 *
 * @param running requests in the batch
 * @param waiting requests that wait to enter the batch
 * @param waitingPromptTokens tokens to be computed before the first answer token, over all requests
 * @param kvUsedRatio share of the KV cache memory in use, 0 to 1
 * @param decodeTokensPerSecond decoding speed of a stream
 * @param prefillTokensPerSecond prefill speed of the engine over all requests
 * @param reportTimeMillis time of the measurement in milliseconds since the epoch
 */
record EngineLoad(
    int running,
    int waiting,
    long waitingPromptTokens,
    double kvUsedRatio,
    double decodeTokensPerSecond,
    double prefillTokensPerSecond,
    long reportTimeMillis) {

  /** Returns the report in the Prometheus text format. */
  String toPrometheusText() {
    StringBuilder text = new StringBuilder();
    appendGauge(text, "engine_running_requests", running);
    appendGauge(text, "engine_waiting_requests", waiting);
    appendGauge(text, "engine_waiting_prompt_tokens", waitingPromptTokens);
    appendGauge(text, "engine_kv_used_ratio", kvUsedRatio);
    appendGauge(text, "engine_decode_tokens_per_second", decodeTokensPerSecond);
    appendGauge(text, "engine_prefill_tokens_per_second", prefillTokensPerSecond);
    appendGauge(text, "engine_report_time_ms", reportTimeMillis);
    return text.toString();
  }

  private static void appendGauge(StringBuilder text, String name, Number value) {
    text.append("# TYPE ").append(name).append(" gauge\n");
    text.append(name).append(' ').append(value).append('\n');
  }
}

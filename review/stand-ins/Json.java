import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the bodies of store calls. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  static String quote(String text) {
    StringBuilder quoted = new StringBuilder("\"");
    for (char c : text.toCharArray()) {
      if (c == '"' || c == '\\') {
        quoted.append('\\').append(c);
      } else if (c < ' ') {
        quoted.append(String.format("\\u%04x", (int) c));
      } else {
        quoted.append(c);
      }
    }
    return quoted.append('"').toString();
  }

  private void skip() {
    while (at < text.length() && " \t\r\n,:".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      at++;
      Map<String, Object> map = new LinkedHashMap<>();
      for (skip(); text.charAt(at) != '}'; skip()) {
        String key = (String) value();
        map.put(key, value());
      }
      at++;
      return map;
    }
    if (c == '[') {
      at++;
      List<Object> list = new ArrayList<>();
      for (skip(); text.charAt(at) != ']'; skip()) {
        list.add(value());
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> "";
      default -> Double.valueOf(word);
    };
  }

  private String string() {
    StringBuilder read = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      char c = text.charAt(at);
      if (c != '\\') {
        read.append(c);
        continue;
      }
      c = text.charAt(++at);
      switch (c) {
        case 'n' -> read.append('\n');
        case 't' -> read.append('\t');
        case 'r' -> read.append('\r');
        case 'u' -> {
          read.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
          at += 4;
        }
        default -> read.append(c);
      }
    }
    at++;
    return read.toString();
  }
}

package craneway.model.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;

/**
 * Reads one document into a tree, without an ObjectMapper: making one loads some 350 classes with calendars and formats of
 * dates, a quarter of the processor time of a router's start. As strict as the mappers that it stands in for: no name twice
 * in an object, nothing behind the document.
 */
public final class JsonTree {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private JsonTree() {}

    /** Reads a JSON text; of an empty one a missing node. */
    public static JsonNode read(String text) throws IOException {
        try (var parser = JSON.createParser(text)) {
            return read(parser);
        }
    }

    /** Reads the one document of a parser that has not begun; of an empty one a missing node. */
    public static JsonNode read(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) return NODES.missingNode();
        var root = node(parser);
        var behind = parser.nextToken();
        if (behind != null) throw new JsonParseException(parser, "something stands behind the document: " + behind);
        return root;
    }

    private static JsonNode node(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_NUMBER_INT -> wholeNumber(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            default -> throw new JsonParseException(parser, "no value: " + parser.currentToken());
        };
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        var object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            var name = parser.currentName();
            parser.nextToken();
            object.set(name, node(parser));
        }
        return object;
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        var array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) array.add(node(parser));
        return array;
    }

    private static JsonNode wholeNumber(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }
}

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
 * Reads one document into a tree of nodes without an ObjectMapper.
 *
 * <p>Creating an ObjectMapper loads some 350 classes, among them calendars and date formats, which took a quarter of
 * the processor time of a router's start. This reader is as strict as the mappers that it replaces: it rejects
 * duplicate names in an object and anything that follows the document.
 */
public final class JsonTree {
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;
    private static final JsonFactory JSON_FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private JsonTree() {}

    /** Reads a JSON text; returns a missing node if it is empty. */
    public static JsonNode read(String text) throws IOException {
        try (var parser = JSON_FACTORY.createParser(text)) {
            return read(parser);
        }
    }

    /**
     * Reads the only document of a parser that has not been read from; returns a missing node if the input is empty.
     */
    public static JsonNode read(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) return NODE_FACTORY.missingNode();
        var root = node(parser);
        var trailingToken = parser.nextToken();
        if (trailingToken != null)
            throw new JsonParseException(parser, "unexpected token after the document: " + trailingToken);
        return root;
    }

    private static JsonNode node(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODE_FACTORY.textNode(parser.getText());
            case VALUE_TRUE -> NODE_FACTORY.booleanNode(true);
            case VALUE_FALSE -> NODE_FACTORY.booleanNode(false);
            case VALUE_NULL -> NODE_FACTORY.nullNode();
            case VALUE_NUMBER_INT -> wholeNumber(parser);
            case VALUE_NUMBER_FLOAT -> NODE_FACTORY.numberNode(parser.getDoubleValue());
            default -> throw new JsonParseException(parser, "expected a value but found " + parser.currentToken());
        };
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        var object = NODE_FACTORY.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            var name = parser.currentName();
            parser.nextToken();
            object.set(name, node(parser));
        }
        return object;
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        var array = NODE_FACTORY.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) array.add(node(parser));
        return array;
    }

    private static JsonNode wholeNumber(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODE_FACTORY.numberNode(parser.getIntValue());
            case LONG -> NODE_FACTORY.numberNode(parser.getLongValue());
            default -> NODE_FACTORY.numberNode(parser.getBigIntegerValue());
        };
    }
}

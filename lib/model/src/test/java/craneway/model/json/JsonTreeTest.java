package craneway.model.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that JsonTree reads the same trees as a JsonMapper and rejects what a strict mapper rejects. */
class JsonTreeTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "null",
                "\"text \\u00e4 \\n\"",
                "-7",
                "9223372036854775807",
                "123456789012345678901234567890",
                "1.5e3",
                "0.1",
                "{\"a\":{\"b\":[1,{\"c\":null},[true,false]]},\"d\":\"\"}",
                "  [ 1 , 2 ]  "
            })
    void readsTheSameTreeAsAMapper(String text) throws IOException {
        assertEquals(new JsonMapper().readTree(text), JsonTree.read(text));
    }

    @Test
    void readsEmptyInputAsMissingNode() throws IOException {
        assertTrue(JsonTree.read("  ").isMissingNode());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{",
                "[1",
                "{\"a\":1,\"a\":2}",
                "{} {}",
                "[1] 2",
                "{\"a\":}",
                "tru",
                "\"open",
                "{'a':1}",
                "01",
                "NaN"
            })
    void rejectsMalformedDuplicateAndTrailingInput(String text) {
        assertThrows(IOException.class, () -> JsonTree.read(text));
    }
}

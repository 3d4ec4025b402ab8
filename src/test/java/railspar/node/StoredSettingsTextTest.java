package railspar.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards the fingerprint of the settings. A courier drops a stored list whose fingerprint differs, so a field that is
 * renamed in the text of the settings would make each courier drop its list at the next update.
 */
final class StoredSettingsTextTest {
    /** The fingerprint that earlier builds, which hashed the printed records, give for {@link #CONFIGURATION}. */
    private static final long EARLIER_FINGERPRINT = 1_452_953_882_381_175_134L;

    private static final String CONFIGURATION = """
            {"name":"n7","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","state":"/nowhere",
             "settings":{"balancers":14,"my_zone":"z1","discovery":"on_request","weights":"nominal",
              "flavors":["plain","apart"],
              "extra":{"fades":"halving","routes_apart":[false,true],"per_call":[1,8],"calls_out":96},
              "classes":[
               {"name":"billing","effect":"side_effect","deadline":60000000,"target":20000000,"points":5.5,
                "in_turn":true},
               {"name":"query","effect":"pure","deadline":3000000,"points":1},
               {"name":"order","effect":"token","group":"zone","deadline":30000000,"target":9000000,"late_worth":0.25,
                "dedup_window":15000000}],
              "tenants":[{"name":"acme","quota_rps":12.5}],
              "guarantees":{"must_ask_in":8000000,"cold_from":0.3,"cold":20000000,"tip_multiple":1.5,
               "order_settle":2000000},
              "limits":{"max_open":5000,"most_tries":6,"cancel":true,"idle_close":45000000,"multiplex":4,
               "retry_after":true,"max_retry_after":30000000}}}
            """;

    @TempDir
    private Path folder;

    @Test
    void storedListsOfEarlierBuildsAreNotDropped() throws Exception {
        final Path file = Files.writeString(folder.resolve("config.json"), CONFIGURATION);
        final Config config = Config.read(Map.of("PROXY_CONFIG", file.toString()));
        assertEquals(EARLIER_FINGERPRINT, config.fingerprint(), StoredSettingsText.of(config.settings()));
    }
}

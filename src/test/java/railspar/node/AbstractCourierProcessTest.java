package railspar.node;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Base of tests of a whole courier: a fresh folder with a fixture in it, which is closed after each test. */
@Timeout(120)
abstract class AbstractCourierProcessTest {
    @TempDir
    Path folder;

    CourierProcessFixture fixture;

    @BeforeEach
    final void buildFixture() throws IOException {
        fixture = new CourierProcessFixture(folder);
    }

    @AfterEach
    final void closeFixture() throws IOException {
        fixture.close();
    }
}

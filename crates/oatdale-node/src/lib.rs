//! One oatdale node and its binary oatdaled.
